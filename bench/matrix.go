package main

import (
	"bytes"
	"errors"
	"os"

	"github.com/spf13/cobra"

	"dogwoodsill.org/bench/matrix"
)

func newMatrixCommand() *cobra.Command {
	o := matrix.Options{Parallel: 3}
	var file string
	cmd := &cobra.Command{
		Use:     "matrix",
		Short:   "Run a deployment under every fault and check the invariants",
		Example: "  bench matrix\n  bench matrix --pairs --out docs/matrix.md\n  bench matrix --only 'log down'",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cmd.SilenceUsage = true
			var b bytes.Buffer
			err := matrix.Run(cmd.Context(), &b, o)
			if _, werr := cmd.OutOrStdout().Write(b.Bytes()); werr != nil {
				return errors.Join(err, werr)
			}
			if file == "" {
				return err
			}
			return errors.Join(err, os.WriteFile(file, b.Bytes(), 0o644))
		},
	}
	f := cmd.Flags()
	f.BoolVar(&o.Pairs, "pairs", false, "run all pairs of faults too")
	f.StringVar(&o.Only, "only", "", "run only cells whose faults contain this `text`")
	f.IntVar(&o.Parallel, "parallel", o.Parallel, "cells at a time")
	f.StringVar(&file, "out", "", "write the table to a `file` too")
	return cmd
}
