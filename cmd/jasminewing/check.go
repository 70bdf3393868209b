package main

import (
	_ "embed"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/jessevdk/go-flags"

	"jasminewing.dev/jasminewing/pkg/table"
)

//go:embed check_usage.txt
var checkUsage string

var checkSubcommand = subcommand{
	name:    "check",
	summary: "validate a table with the checks of the fleet",
	usage:   checkUsage,
	command: func(o output) flags.Commander { return &checkCommand{out: o.stdout} },
}

const sectionSuffix = ".csv"

// checkCommand validates a table.
type checkCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"CSV files of the table, or a directory of CSV files"`
	} `positional-args:"yes"`

	out io.Writer
}

// faultsError is the error of a table with faults. Its value is the number of
// faults that were printed.
type faultsError int

// Error returns a message with the number of faults.
func (n faultsError) Error() string {
	if n == 1 {
		return "1 fault; the fleet would refuse this table"
	}
	return fmt.Sprintf("%d faults; the fleet would refuse this table", int(n))
}

// Execute prints all faults of the table, or the size of a table without faults.
func (c *checkCommand) Execute([]string) error {
	paths, err := sectionPaths(c.Args.Files)
	if err != nil {
		return err
	}
	sections, err := readSections(paths)
	if err != nil {
		return err
	}
	t, faults := table.Parse(sections)
	if len(faults) > 0 {
		c.printFaults(faults, paths)
		return faultsError(len(faults))
	}
	fmt.Fprintf(c.out, "good: %d data centres, %d classes, %d upstreams, %d accounts\n",
		len(t.DataCentres), len(t.Classes), len(t.Upstreams), len(t.Accounts))
	return nil
}

// printFaults prints the faults. It names the file of each fault if the fault
// belongs to one.
func (c *checkCommand) printFaults(faults []table.Fault, paths []string) {
	files := make(map[string]string, len(paths))
	for _, p := range paths {
		files[sectionName(p)] = p
	}
	for _, f := range faults {
		if p, ok := files[f.Section]; ok {
			f.Section = p
		}
		fmt.Fprintln(c.out, f.Error())
	}
}

// sectionPaths returns the paths of the given files and of the CSV files in the
// given directories.
func sectionPaths(args []string) ([]string, error) {
	var paths []string
	for _, a := range args {
		info, err := os.Stat(a)
		if err != nil {
			return nil, fmt.Errorf("read table: %w", err)
		}
		if !info.IsDir() {
			paths = append(paths, a)
			continue
		}
		files, err := directoryPaths(a)
		if err != nil {
			return nil, err
		}
		paths = append(paths, files...)
	}
	return paths, nil
}

func directoryPaths(directory string) ([]string, error) {
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil, fmt.Errorf("read table: %w", err)
	}
	var paths []string
	for _, e := range entries {
		if !e.IsDir() && filepath.Ext(e.Name()) == sectionSuffix {
			paths = append(paths, filepath.Join(directory, e.Name()))
		}
	}
	return paths, nil
}

func sectionName(path string) string {
	return strings.TrimSuffix(filepath.Base(path), sectionSuffix)
}

func readSections(paths []string) ([]table.Section, error) {
	var sections []table.Section
	for _, p := range paths {
		data, err := readSection(p)
		if err != nil {
			return nil, fmt.Errorf("read table: %w", err)
		}
		sections = append(sections, table.Section{Name: sectionName(p), Data: data})
	}
	return sections, nil
}

// readSection reads at most one byte more than the maximum size of a section.
// The extra byte is enough for validation to refuse a larger file.
func readSection(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, table.MaxSectionBytes+1))
}
