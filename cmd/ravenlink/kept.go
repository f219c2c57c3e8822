package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"ravenlink/internal/keep"
	"ravenlink/internal/kept"
)

// newKept is what an operator does with kept messages. The store has one user at a time, so these want a stopped sender's folder.
func newKept() *cobra.Command {
	var dir string
	c := &cobra.Command{Use: "kept", Short: "Look at kept messages of a stopped sender, hold, release or drop them"}
	c.PersistentFlags().StringVar(&dir, "state", os.Getenv("RELAY_STATE"), "the sender's folder; else that of RELAY_STATE")
	with := func(do func(out io.Writer, s *keep.Store, args []string) error) func(*cobra.Command, []string) error {
		return func(cmd *cobra.Command, args []string) (err error) {
			if !keep.Exists(dir) {
				return fmt.Errorf("no kept messages in %q", dir)
			}
			s, err := keep.Open(dir, 0, 0)
			if err != nil {
				return err
			}
			defer func() { err = errors.Join(err, s.Close()) }()
			return do(cmd.OutOrStdout(), s, args)
		}
	}
	c.AddCommand(keptList(with), keptShow(with),
		&cobra.Command{Use: "stats", Short: "Count them", Args: cobra.NoArgs, RunE: with(func(out io.Writer, s *keep.Store, _ []string) error {
			st, err := s.Stats()
			if err != nil {
				return err
			}
			return json.NewEncoder(out).Encode(st)
		})},
		&cobra.Command{Use: "hold ID...", Short: "Have them wait for a person", Args: cobra.MinimumNArgs(1), RunE: with(turnAll(kept.Held, "held by a person"))},
		keptRelease(with),
		&cobra.Command{Use: "drop ID...", Short: "Forget them for good", Args: cobra.MinimumNArgs(1),
			RunE: with(func(_ io.Writer, s *keep.Store, ids []string) error {
				for _, id := range ids {
					if err := s.Drop(id); err != nil {
						return err
					}
				}
				return nil
			})})
	return c
}

type withStore func(func(out io.Writer, s *keep.Store, args []string) error) func(*cobra.Command, []string) error

func turnAll(to kept.State, why string) func(io.Writer, *keep.Store, []string) error {
	return func(_ io.Writer, s *keep.Store, ids []string) error {
		for _, id := range ids {
			if err := s.Change(id, func(r *kept.Record) error { return r.Turn(to, time.Now().UnixMicro(), why) }); err != nil {
				return err
			}
		}
		return nil
	}
}

// keptRelease wants a person's word for each that may have run, and for each that its client may have handed in again.
func keptRelease(with withStore) *cobra.Command {
	var mayHaveRun, returned bool
	c := &cobra.Command{Use: "release ID...", Short: "Have the rules decide on them again", Example: "  ravenlink kept release 7f3a9c21 --may-have-run",
		Args: cobra.MinimumNArgs(1),
		RunE: with(func(_ io.Writer, s *keep.Store, ids []string) error {
			for _, id := range ids {
				err := s.Change(id, func(r *kept.Record) error {
					if r.MayHaveRun() && !mayHaveRun {
						return fmt.Errorf("message %s may have run: a second effect is yours to answer for; say --may-have-run", id)
					}
					if r.MayComeAgain() && !returned {
						return fmt.Errorf("message %s was returned to its client, which may have handed it in again: a second effect is yours to answer for; say --returned", id)
					}
					r.Cleared, r.RepeatCleared = r.MayHaveRun(), r.MayComeAgain()
					return r.Turn(kept.Waiting, time.Now().UnixMicro(), "released by a person")
				})
				if err != nil {
					return err
				}
			}
			return nil
		})}
	c.Flags().BoolVar(&mayHaveRun, "may-have-run", false, "they may go out again though they may have had their effect")
	c.Flags().BoolVar(&returned, "returned", false, "they may go out again though their clients were told to come again")
	return c
}

func keptList(with withStore) *cobra.Command {
	var (
		lane, state string
		dst         int64
		asJSON      bool
	)
	c := &cobra.Command{Use: "list", Short: "List them, those kept first first", Example: "  ravenlink kept list --state-is held --lane work-order", Args: cobra.NoArgs,
		RunE: with(func(out io.Writer, s *keep.Store, _ []string) error {
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			if !asJSON {
				fmt.Fprintln(w, "id\tlane\tdestination\tkept\tend\tmay have run\tstate\tsent as")
			}
			want := func(r *kept.Record) bool {
				return (lane == "" || r.Lane == lane) && (state == "" || string(r.State) == state) && (dst < 0 || r.Dst == dst)
			}
			for from := []byte(nil); ; {
				rs, next, err := s.Page(from, want)
				if err != nil {
					return err
				}
				for _, r := range rs {
					if err := listOne(out, w, r, asJSON); err != nil {
						return err
					}
				}
				if from = next; from == nil {
					return w.Flush()
				}
			}
		})}
	c.Flags().StringVar(&lane, "lane", "", "only of this lane")
	c.Flags().StringVar(&state, "state-is", "", "only in this state: waiting, held, intended, sent, done, followed")
	c.Flags().Int64Var(&dst, "destination", -1, "only for this destination")
	c.Flags().BoolVar(&asJSON, "json", false, "whole records, a JSON object a line")
	return c
}

func listOne(out io.Writer, w *tabwriter.Writer, r *kept.Record, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(r)
	}
	end, ran := "failed", "no"
	if r.PushedBack {
		end = "pushed back"
	}
	if r.MayHaveRun() {
		ran = "yes"
	}
	_, err := fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", r.ID, r.Lane, r.Dst, time.UnixMicro(r.KeptAt).UTC().Format(time.RFC3339), end, ran,
		r.State, r.SentAs)
	return err
}

func keptShow(with withStore) *cobra.Command {
	return &cobra.Command{Use: "show ID", Short: "Tell one's whole story", Args: cobra.ExactArgs(1),
		RunE: with(func(out io.Writer, s *keep.Store, args []string) error {
			r, err := s.Get(args[0])
			if err != nil {
				return err
			}
			e := json.NewEncoder(out)
			e.SetIndent("", "  ")
			return e.Encode(r)
		})}
}
