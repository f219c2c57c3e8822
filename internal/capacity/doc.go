// Package capacity has tests alone: what one built sender costs by the size of what it knows and owes, and the tables of docs/CAPACITY.md.
package capacity
