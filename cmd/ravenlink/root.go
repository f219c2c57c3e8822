package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"

	"ravenlink/internal/daemon"
	"ravenlink/internal/kept"
	"ravenlink/internal/operator"
	"ravenlink/internal/startup"
)

// The exit statuses.
const (
	exitOK    = 0
	exitBad   = 1 // a start that cannot be, or a command that is off
	exitFault = 2 // check found faults
)

var errFaults = errors.New("faults found")

func run(args []string, out, errs io.Writer) int {
	root := newRoot(out, errs)
	root.SetArgs(args)
	err := root.Execute()
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errFaults):
		return exitFault
	}
	fmt.Fprintln(errs, "ravenlink:", strings.ReplaceAll(err.Error(), "\n", "; "))
	return exitBad
}

func newRoot(out, errs io.Writer) *cobra.Command {
	var operatorFile string
	serve := func(*cobra.Command, []string) error { return daemon.Serve(os.Getenv, operatorFile) }
	root := &cobra.Command{
		Use:   "ravenlink",
		Short: "Hand messages on to destinations nobody here controls",
		Long: `ravenlink is one sender. Without a command it serves, as ravenlink serve does.

The exit status is 0, 1 for a start that cannot be or a command that is off, 2 if check found faults.`,
		Args: cobra.NoArgs, RunE: serve, SilenceErrors: true, SilenceUsage: true,
	}
	root.SetOut(out)
	root.SetErr(errs)
	root.PersistentFlags().StringVar(&operatorFile, "operator", "", "the operator's file, such as deploy/ravenlink.toml")
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Take messages and hand them on, until SIGTERM", Example: "  ravenlink serve --operator deploy/ravenlink.toml",
			Args: cobra.NoArgs, RunE: serve},
		&cobra.Command{Use: "check", Short: "Name every fault of the start file and the operator's file",
			Example: "  RELAY_CONFIG=examples/config.json ravenlink check --operator deploy/ravenlink.toml", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error { return check(cmd.OutOrStdout(), os.Getenv, operatorFile) }},
		&cobra.Command{Use: "version", Short: "Say which build this is", Args: cobra.NoArgs,
			Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), version()) }},
		newKept(),
	)
	return root
}

// check prints each fault on a line of its own.
func check(out io.Writer, env func(string) string, operatorFile string) error {
	faults := startup.Check(env)
	if operatorFile != "" {
		if err := operated(env, operatorFile); err != nil {
			faults = append(faults, err)
		}
	}
	if len(faults) == 0 {
		fmt.Fprintln(out, "no faults")
		return nil
	}
	for _, f := range faults {
		fmt.Fprintln(out, f)
	}
	return errFaults
}

// operated checks the operator's file, also against the limits of the start file where that can be read.
func operated(env func(string) string, operatorFile string) error {
	c, err := startup.Read(env)
	if err != nil {
		_, err = operator.Read(operatorFile)
		return err
	}
	settings := startup.Module(c)
	return operator.Fit(operatorFile, operator.Limits{Disk: startup.Disk(c), Spool: startup.SpoolRoom(c), Memory: startup.Memory(c),
		Lane: func(name string) kept.Lane { return daemon.KeptLane(settings, name) }})
}

func version() string {
	info, known := debug.ReadBuildInfo()
	if !known {
		return "ravenlink, of an unknown build"
	}
	text := "ravenlink " + info.Main.Version + " " + info.GoVersion
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.modified" && s.Value == "true" {
			text += " " + strings.TrimPrefix(s.Key, "vcs.") + " " + s.Value
		}
	}
	return text
}
