package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"lilaccove/internal/capacity"
)

// capacityCommand computes the tables of the capacity page from its runs.
func capacityCommand() *cobra.Command {
	var page string
	var write bool
	command := &cobra.Command{
		Use: "capacity [DIR]", Short: "Compute the capacity page's tables from the runs in a directory, and check or write the page",
		Long: "Reads the runs in DIR (docs/capacity, if absent), fits slopes and computes the tables of docs/CAPACITY.md. Prints the first line in\n" +
			"which the page differs; with --write puts the tables between the page's markers. The rest of the page stays as it is.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			dir := "docs/capacity"
			if len(args) > 0 {
				dir = args[0]
			}
			if _, err := os.Stat(dir); err != nil {
				return fmt.Errorf("%w; name the directory with the runs, or start at the repository's root", err)
			}
			runs, err := capacity.Read(os.DirFS(dir))
			if err != nil {
				return fmt.Errorf("%s: %w", dir, err)
			}
			tables, err := runs.Tables()
			if err != nil {
				return fmt.Errorf("%s: %w", dir, err)
			}
			text, err := os.ReadFile(page)
			if err != nil {
				return err
			}
			if !write {
				line, err := capacity.FirstDifference(string(text), tables)
				switch {
				case err != nil:
					return fmt.Errorf("%s: %w", page, err)
				case line != "":
					return errors.New(page + ", " + line + "\nlilacload capacity --write brings the page up to date")
				}
				fmt.Fprintf(c.OutOrStdout(), "%s matches its runs\n", page)
				return nil
			}
			filled, err := capacity.Fill(string(text), tables)
			if err != nil {
				return fmt.Errorf("%s: %w", page, err)
			}
			return os.WriteFile(page, []byte(filled), 0o644)
		},
	}
	command.Flags().StringVar(&page, "page", "docs/CAPACITY.md", "file of the page")
	command.Flags().BoolVar(&write, "write", false, "write the tables into the page")
	return command
}
