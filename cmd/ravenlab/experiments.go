package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"ravenlink/internal/lab/experiment"
	"ravenlink/internal/lab/policy"
	"ravenlink/internal/lab/report"
	"ravenlink/internal/lab/rules"
	"ravenlink/internal/lab/scenario"
)

// progress shows a progress bar if errs is a terminal.
func progress(errs io.Writer, total int, what string) (done func(int), end func()) {
	f, isFile := errs.(*os.File)
	if !isFile || !term.IsTerminal(int(f.Fd())) {
		return nil, func() {}
	}
	bar := progressbar.NewOptions(total, progressbar.OptionSetWriter(errs), progressbar.OptionSetDescription(what),
		progressbar.OptionShowCount(), progressbar.OptionClearOnFinish(), progressbar.OptionThrottle(100*time.Millisecond))
	return func(n int) { _ = bar.Set(n) }, func() { _ = bar.Finish() }
}

// withInterrupt returns a context that ends on SIGINT or SIGTERM.
func withInterrupt() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

func newSweep() *cobra.Command {
	var (
		name, jsonTo string
		grid         []string
		seeds        int
	)
	c := &cobra.Command{
		Use:     "sweep SCENARIO --set PATH=V1,V2,...",
		Short:   "Simulate every cell of a grid of settings",
		Example: "  ravenlab sweep scenarios/rainy-morning.toml --set team.senders=2,4,8 --set traffic.load=0.6,0.9 --seeds 8",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := scenario.Read(args[0])
			if err != nil {
				return err
			}
			var axes []experiment.Axis
			total := seeds
			for _, g := range grid {
				path, values, ok := strings.Cut(g, "=")
				if !ok || values == "" {
					return fmt.Errorf("--set %s: write PATH=V1,V2,...", g)
				}
				axes = append(axes, experiment.Axis{Path: path, Values: strings.Split(values, ",")})
				total *= len(axes[len(axes)-1].Values)
			}
			ctx, stop := withInterrupt()
			defer stop()
			done, end := progress(cmd.ErrOrStderr(), total, "days")
			g, err := experiment.Sweep(ctx, &s, name, axes, seeds, done)
			end()
			if err != nil {
				return err
			}
			printGrid(cmd.OutOrStdout(), g)
			return writeOptionalJSON(jsonTo, g)
		},
	}
	f := c.Flags()
	f.StringVar(&name, "policy", "module", "policy")
	f.StringArrayVar(&grid, "set", nil, "a setting and its values; may be repeated")
	f.IntVar(&seeds, "seeds", 8, "days per cell")
	f.StringVar(&jsonTo, "json", "", "write the grid to this file, for ravenlab report")
	return c
}

func writeOptionalJSON(path string, v any) error {
	if path == "" {
		return nil
	}
	return writeJSON(path, v)
}

func printGrid(out io.Writer, g *experiment.Grid) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, a := range g.Axes {
		fmt.Fprintf(w, "%s\t", a.Path)
	}
	for _, m := range experiment.Metrics {
		fmt.Fprintf(w, "%s\t", m.Name)
	}
	fmt.Fprintln(w)
	for _, c := range g.Cells {
		for _, v := range c.Values {
			fmt.Fprintf(w, "%s\t", v)
		}
		for _, m := range experiment.Metrics {
			fmt.Fprintf(w, "%s\t", report.FormatEstimate(c.Figures[m.Name]))
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush()
}

func newCompare() *cobra.Command {
	var (
		a, b, jsonTo string
		seeds        int
		sets         []string
	)
	c := &cobra.Command{
		Use:     "compare SCENARIO --a POLICY --b POLICY",
		Short:   "Simulate two policies on the same days and print the differences",
		Example: "  ravenlab compare scenarios/rainy-morning.toml --a budget/least --b module --seeds 16",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := readScenario(args[0], sets)
			if err != nil {
				return err
			}
			ctx, stop := withInterrupt()
			defer stop()
			done, end := progress(cmd.ErrOrStderr(), 2*seeds, "days")
			cmp, err := experiment.Compare(ctx, &s, a, b, seeds, done)
			end()
			if err != nil {
				return err
			}
			printComparison(cmd.OutOrStdout(), cmp)
			return writeOptionalJSON(jsonTo, cmp)
		},
	}
	f := c.Flags()
	f.StringVar(&a, "a", "backoff", "one policy")
	f.StringVar(&b, "b", "module", "the other")
	f.IntVar(&seeds, "seeds", 16, "days")
	f.StringArrayVar(&sets, "set", nil, "change a setting, as PATH=VALUE; may be repeated")
	f.StringVar(&jsonTo, "json", "", "write the comparison to this file, for ravenlab report")
	return c
}

func printComparison(out io.Writer, c *experiment.Comparison) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s, %d days\t%s\t%s\tdifference\t\n", c.Scenario, c.Seeds, c.A, c.B)
	for _, d := range c.Figures {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", d.Metric, report.FormatEstimate(d.A), report.FormatEstimate(d.B), report.FormatEstimate(d.BMinusA), d.Verdict(c.A, c.B))
	}
	for _, rule := range rules.All {
		if c.ViolationsA[rule]+c.ViolationsB[rule] > 0 {
			fmt.Fprintf(w, "rule %s broken\t%d\t%d\t\t\n", rule, c.ViolationsA[rule], c.ViolationsB[rule])
		}
	}
	_ = w.Flush()
}

func newTable() *cobra.Command {
	var (
		seeds    int
		policies []string
	)
	c := &cobra.Command{
		Use:     "table SCENARIO...",
		Short:   "Simulate the module, every baseline and the bound on many scenarios and print a Markdown table",
		Example: "  ravenlab table scenarios/*.toml --seeds 4",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var ss []*scenario.Scenario
			for _, a := range args {
				s, err := scenario.Read(a)
				if err != nil {
					return err
				}
				ss = append(ss, &s)
			}
			all := append([]string{policy.ModuleName, policy.BoundName}, policies...)
			ctx, stop := withInterrupt()
			defer stop()
			done, end := progress(cmd.ErrOrStderr(), len(ss)*len(all)*seeds, "days")
			rows, err := experiment.Table(ctx, ss, all, seeds, done)
			end()
			if err != nil {
				return err
			}
			printTable(cmd.OutOrStdout(), all, rows)
			return nil
		},
	}
	c.Flags().IntVar(&seeds, "seeds", 4, "days per scenario and policy")
	c.Flags().StringSliceVar(&policies, "policies", policy.Baselines(), "policies to compare with the module and the bound")
	return c
}

// printTable marks policies that broke a rule with *, and those with a significantly better service than the module with +.
func printTable(out io.Writer, policies []string, rows []experiment.Row) {
	fmt.Fprintf(out, "| scenario | %s |\n|---|%s\n", strings.Join(policies, " | "), strings.Repeat("---|", len(policies)))
	for _, r := range rows {
		fmt.Fprintf(out, "| %s |", r.Scenario)
		for _, p := range policies {
			mark := ""
			if len(r.Violations[p]) > 0 {
				mark = "*"
			}
			if d := r.Versus[p]; p != policy.ModuleName && d.Excludes(0) && d.Mean < 0 {
				mark += "+"
			}
			fmt.Fprintf(out, " %.3f%s |", r.Service[p].Mean, mark)
		}
		fmt.Fprintln(out)
	}
}

func newSearch() *cobra.Command {
	var (
		name, rule, to string
		loss           bool
		days           int
		within         time.Duration
		seed           uint64
	)
	c := &cobra.Command{
		Use:     "search SCENARIO",
		Short:   "Search for a day that breaks a rule or has the least service, and minimize it",
		Example: "  ravenlab search scenarios/rainy-morning.toml --policy planted-wait --out found.toml\n  ravenlab search scenarios/rainy-morning.toml --loss --days 500",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := scenario.Read(args[0])
			if err != nil {
				return err
			}
			ctx, stop := withInterrupt()
			defer stop()
			done, end := progress(cmd.ErrOrStderr(), days, "days tried")
			goal := experiment.Goal{Rule: rules.Rule(rule), WorstService: loss, ServiceMargin: 0.02}
			f, err := experiment.Search(ctx, &s, name, goal, days, within, seed, done)
			end()
			if err != nil {
				return err
			}
			return printSearchResult(cmd.OutOrStdout(), f, to)
		},
	}
	f := c.Flags()
	f.StringVar(&name, "policy", "module", "policy")
	f.StringVar(&rule, "rule", "", "only this rule: answer, effect, drain, return, order, wait")
	f.BoolVar(&loss, "loss", false, "search for the day with the least service instead")
	f.IntVar(&days, "days", 2000, "maximum number of days")
	f.DurationVar(&within, "within", 2*time.Minute, "time limit, 0 for none")
	f.Uint64Var(&seed, "seed", 1, "seed of the search")
	f.StringVar(&to, "out", "", "write the day found to this file, as a scenario")
	return c
}

func printSearchResult(out io.Writer, f *experiment.SearchResult, to string) error {
	if !f.Hit {
		fmt.Fprintf(out, "no rule broken on %d days; least service %.4f\n", f.DaysTried, f.Result.Service)
		return nil
	}
	fmt.Fprintf(out, "found after %d days, made small in %d further: %d troubles of %d left, %v, seed %d, service %.4f\n", f.DaysTried, f.ShrinkRuns,
		len(f.Scenario.Faults), f.FaultsBeforeShrink, f.Scenario.Length, f.Result.Seed, f.Result.Service)
	for _, fault := range f.Scenario.Faults {
		fmt.Fprintln(out, " ", fault)
	}
	if to != "" {
		f.Scenario.Name = strings.TrimSuffix(filepath.Base(to), ".toml")
		f.Scenario.Description = fmt.Sprintf("found by search; seed %d, policy %s", f.Result.Seed, f.Result.Policy)
		text, err := f.Scenario.Encode()
		if err != nil {
			return err
		}
		if err := os.WriteFile(to, text, 0o644); err != nil {
			return fmt.Errorf("search: %w", err)
		}
	}
	if f.Result.Broken == 0 {
		return nil
	}
	return errors.Join(printViolations(out, &f.Scenario, f.Result), errRuleBroken)
}

func newReport() *cobra.Command {
	return &cobra.Command{
		Use:     "report DIR",
		Short:   "Write a page with plots of all results in a directory, and each plot as an image",
		Example: "  mkdir -p bin/report && ravenlab run scenarios/rainy-morning.toml --json bin/report/rainy.json\n  ravenlab report bin/report",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			n, err := report.Write(args[0])
			if n > 0 || err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%s and %d pictures\n", filepath.Join(args[0], "index.html"), n)
			}
			return err
		},
	}
}

func newPolicies() *cobra.Command {
	return &cobra.Command{
		Use:     "policies",
		Short:   "List the policies",
		Example: "  ravenlab policies",
		Args:    cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			for _, n := range policy.Names() {
				fmt.Fprintln(cmd.OutOrStdout(), n)
			}
			fmt.Fprintln(cmd.OutOrStdout(), "each except module and bound may be followed by /random, /robin, /least or /two")
		},
	}
}
