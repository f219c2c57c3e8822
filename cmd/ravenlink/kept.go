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

// newKeptCommand returns the commands for dead letters. The store has a single user, so they need the state directory of a stopped sender.
func newKeptCommand() *cobra.Command {
	var dir string
	c := &cobra.Command{Use: "kept", Short: "List, show, hold, release or drop the kept messages of a stopped sender"}
	c.PersistentFlags().StringVar(&dir, "state", os.Getenv("RELAY_STATE"), "state directory of the sender; default: RELAY_STATE")
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
		&cobra.Command{Use: "stats", Short: "Print counts of kept messages", Args: cobra.NoArgs, RunE: with(func(out io.Writer, s *keep.Store, _ []string) error {
			st, err := s.Stats()
			if err != nil {
				return err
			}
			return json.NewEncoder(out).Encode(st)
		})},
		&cobra.Command{Use: "hold ID...", Short: "Hold messages until they are released by hand", Args: cobra.MinimumNArgs(1), RunE: with(transitionAll(kept.Held, "held by a person"))},
		keptRelease(with),
		&cobra.Command{Use: "drop ID...", Short: "Delete messages permanently", Args: cobra.MinimumNArgs(1),
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

type storeCommand func(func(out io.Writer, s *keep.Store, args []string) error) func(*cobra.Command, []string) error

func transitionAll(to kept.State, why string) func(io.Writer, *keep.Store, []string) error {
	return func(_ io.Writer, s *keep.Store, ids []string) error {
		for _, id := range ids {
			if err := s.Update(id, func(r *kept.Record) error { return r.Transition(to, time.Now().UnixMicro(), why) }); err != nil {
				return err
			}
		}
		return nil
	}
}

// keptRelease requires --may-have-run for messages that may have run.
func keptRelease(with storeCommand) *cobra.Command {
	var mayHaveRun bool
	c := &cobra.Command{Use: "release ID...", Short: "Return messages to the rules", Example: "  ravenlink kept release 7f3a9c21 --may-have-run",
		Args: cobra.MinimumNArgs(1),
		RunE: with(func(_ io.Writer, s *keep.Store, ids []string) error {
			for _, id := range ids {
				err := s.Update(id, func(r *kept.Record) error {
					if r.MayHaveRun() && !mayHaveRun {
						return fmt.Errorf("message %s may have run: a second effect is yours to answer for; say --may-have-run", id)
					}
					r.ResendApproved = r.MayHaveRun()
					return r.Transition(kept.Waiting, time.Now().UnixMicro(), "released by a person")
				})
				if err != nil {
					return err
				}
			}
			return nil
		})}
	c.Flags().BoolVar(&mayHaveRun, "may-have-run", false, "resend messages even if they may already have had their effect")
	return c
}

func keptList(with storeCommand) *cobra.Command {
	var (
		class, state string
		destination  int64
		asJSON       bool
	)
	c := &cobra.Command{Use: "list", Short: "List kept messages, oldest first", Example: "  ravenlink kept list --state-is held --lane work-order", Args: cobra.NoArgs,
		RunE: with(func(out io.Writer, s *keep.Store, _ []string) error {
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			if !asJSON {
				fmt.Fprintln(w, "id\tlane\tdestination\tkept\tend\tmay have run\tstate\tsent as")
			}
			match := func(r *kept.Record) bool {
				return (class == "" || r.Class == class) && (state == "" || string(r.State) == state) && (destination < 0 || r.Dst == destination)
			}
			for from := []byte(nil); ; {
				rs, next, err := s.Page(from, match)
				if err != nil {
					return err
				}
				for _, r := range rs {
					if err := printRecord(out, w, r, asJSON); err != nil {
						return err
					}
				}
				if from = next; from == nil {
					return w.Flush()
				}
			}
		})}
	c.Flags().StringVar(&class, "lane", "", "only messages of this lane")
	c.Flags().StringVar(&state, "state-is", "", "only messages in this state: waiting, held, intended, sent, done, followed")
	c.Flags().Int64Var(&destination, "destination", -1, "only messages for this destination")
	c.Flags().BoolVar(&asJSON, "json", false, "complete records, one JSON object per line")
	return c
}

func printRecord(out io.Writer, w *tabwriter.Writer, r *kept.Record, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(r)
	}
	end, ran := "failed", "no"
	if r.Rejected {
		end = "pushed back"
	}
	if r.MayHaveRun() {
		ran = "yes"
	}
	_, err := fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", r.ID, r.Class, r.Dst, time.UnixMicro(r.StoredAt).UTC().Format(time.RFC3339), end, ran,
		r.State, r.ResentAs)
	return err
}

func keptShow(with storeCommand) *cobra.Command {
	return &cobra.Command{Use: "show ID", Short: "Show the complete record of a message", Args: cobra.ExactArgs(1),
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
