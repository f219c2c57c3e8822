package main

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"ravenlink/internal/lab/loop"
	"ravenlink/internal/lab/rules"
	"ravenlink/internal/lab/scenario"
	"ravenlink/internal/lab/world"
)

func printResult(out io.Writer, r *world.Result) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, format string, a ...any) { fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, a...)) }
	row("scenario", "%s, policy %s, seed %d", r.Scenario, r.Policy, r.Seed)
	row("service", "%.4f (worst 10 s %.3f)", r.Service, r.Worst)
	row("messages", "%d asked, %d delivered, %d of them in time, %d pushed back, %d failed, %d left, %d lost with a sender",
		r.Asked, r.Delivered, r.InTime, r.Ends["pushed back"], r.Ends["failed"], r.Ends["left"], r.Ends["lost"])
	row("legs", "%d (%.2f a message), %d repeats, %d turned away, %d in error, %d timed out, %d reset, %d not connected", r.Legs, r.LegsPerMessage,
		r.Retries, r.Outcomes["full"], r.Outcomes["errored"], r.Outcomes["timed out"], r.Outcomes["reset"], r.Outcomes["not connected"])
	row("waste", "%.1f%% of the work done delivered nothing; %d probes, %d connections, %d pushed over", 100*r.Waste, r.Probes, r.Connections, r.Collapses)
	row("answers", "p50 %.0f ms, p90 %.0f, p99 %.0f, p99.9 %.0f", r.DeliveryTimes.P50, r.DeliveryTimes.P90, r.DeliveryTimes.P99, r.DeliveryTimes.P999)
	row("undelivered", "told after p50 %.0f ms, p99 %.0f", r.UndeliveredTimes.P50, r.UndeliveredTimes.P99)
	row("events", "%d", r.Events)
	for _, rule := range rules.All {
		if n := r.Rules[rule]; n > 0 {
			row("BROKEN", "%s, %d times", rule, n)
		}
	}
	_ = w.Flush()
}

const (
	traceLead     = 10_000_000 // µs of a destination's events that are printed before a violation
	maxTraceLines = 60         // only the last lines of a trace are printed; --trace writes all
)

// tail returns the last maxTraceLines lines of a text.
func tail(text []byte) []byte {
	lines := bytes.SplitAfter(text, []byte("\n"))
	return bytes.Join(lines[max(0, len(lines)-1-maxTraceLines):], nil)
}

// printViolations simulates the day again for the first violation of each rule and prints the events that concern it.
func printViolations(out io.Writer, s *scenario.Scenario, r *world.Result) error {
	var shown []rules.Rule
	for _, v := range r.Violations {
		if slices.Contains(shown, v.Rule) {
			continue
		}
		shown = append(shown, v.Rule)
		fmt.Fprintf(out, "\nrule %s, %.3f s: %s\n", v.Rule, float64(v.At-loop.Origin)/1e6, v.What)
		var text bytes.Buffer
		t := world.NewTrace(&text)
		if v.Message != "" {
			t.Message = v.Message
		} else {
			t.Dst, t.From, t.To = v.Dst, v.At-loop.Origin-traceLead, v.At-loop.Origin
		}
		if _, err := world.Run(s, r.Seed, r.Policy, t); err != nil {
			return err
		}
		if err := t.Close(); err != nil {
			return err
		}
		if _, err := out.Write(tail(text.Bytes())); err != nil {
			return fmt.Errorf("print violations: %w", err)
		}
	}
	return nil
}
