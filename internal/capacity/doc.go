// Package capacity contains only tests. They measure what one process of the built program costs as a function of the number of
// destinations it knows and messages it owes, and generate the tables of docs/CAPACITY.md.
package capacity
