package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"ravenlink/internal/lab/scenario"
	"ravenlink/internal/lab/world"
)

// Exit statuses.
const (
	exitOK         = 0
	exitError      = 1 // invalid command or file, or a system error
	exitRuleBroken = 3 // a rule was broken
)

// errRuleBroken reports that a run broke a rule; the details have been printed.
var errRuleBroken = errors.New("a rule was broken")

func run(args []string, out, errs io.Writer) int {
	root := newRoot(out, errs)
	root.SetArgs(args)
	err := root.Execute()
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errRuleBroken):
		fmt.Fprintln(errs, "ravenlab:", err)
		return exitRuleBroken
	}
	fmt.Fprintln(errs, "ravenlab:", strings.ReplaceAll(err.Error(), "\n", "\nravenlab: "))
	return exitError
}

func newRoot(out, errs io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use:   "ravenlab",
		Short: "Simulate receivers, senders and clients in virtual time and compare delivery policies",
		Long: `ravenlab simulates scenarios in virtual time: a model of receivers, clients, front, discovery and network.
Each sender runs the decision module, a baseline policy or an upper bound with complete knowledge.

The exit status is 0, 1 for an invalid command or file, 3 if a rule was broken.`,
		SilenceErrors: true, SilenceUsage: true,
	}
	root.SetOut(out)
	root.SetErr(errs)
	root.AddCommand(newRun(), newSweep(), newCompare(), newTable(), newSearch(), newReport(), newPolicies())
	return root
}

// readScenario reads a scenario file and applies settings to it.
func readScenario(path string, sets []string) (scenario.Scenario, error) {
	s, err := scenario.Read(path)
	if err != nil {
		return s, err
	}
	for _, set := range sets {
		name, value, ok := strings.Cut(set, "=")
		if !ok {
			return s, fmt.Errorf("--set %s: write PATH=VALUE", set)
		}
		if err := s.Set(name, value); err != nil {
			return s, fmt.Errorf("--set %w", err)
		}
	}
	return s, nil
}

func newRun() *cobra.Command {
	var (
		seed         uint64
		policy       string
		jsonTo       string
		traceTo      string
		sets         []string
		ignoreBroken bool
	)
	c := &cobra.Command{
		Use:     "run SCENARIO",
		Short:   "Simulate one day",
		Example: "  ravenlab run scenarios/rainy-morning.toml --seed 3\n  ravenlab run scenarios/rainy-morning.toml --policy backoff/two --json out/plain.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := readScenario(args[0], sets)
			if err != nil {
				return err
			}
			r, err := play(&s, seed, policy, traceTo)
			if err != nil {
				return err
			}
			if jsonTo != "" {
				if err := writeJSON(jsonTo, r); err != nil {
					return err
				}
			}
			printResult(cmd.OutOrStdout(), r)
			if r.Broken == 0 || ignoreBroken {
				return nil
			}
			if err := printViolations(cmd.OutOrStdout(), &s, r); err != nil {
				return err
			}
			return errRuleBroken
		},
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 1, "seed of the day")
	f.StringVar(&policy, "policy", "module", "policy; ravenlab policies lists them")
	f.StringVar(&jsonTo, "json", "", "write the result to this file")
	f.StringVar(&traceTo, "trace", "", "write all events to this file, one JSON object per line")
	f.StringArrayVar(&sets, "set", nil, "change a setting, as PATH=VALUE; may be repeated")
	f.BoolVar(&ignoreBroken, "broken-ok", false, "exit with 0 even if a rule was broken")
	return c
}

func play(s *scenario.Scenario, seed uint64, policy, traceTo string) (r *world.Result, err error) {
	var trace *world.Trace
	if traceTo != "" {
		f, err := os.Create(traceTo)
		if err != nil {
			return nil, fmt.Errorf("trace: %w", err)
		}
		defer func() { err = errors.Join(err, f.Close()) }()
		trace = world.NewTrace(f)
	}
	r, err = world.Run(s, seed, policy, trace)
	if err == nil && trace != nil {
		err = trace.Close()
	}
	return r, err
}

func writeJSON(path string, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("result: %w", err)
	}
	return nil
}
