package cmds

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"

	"crocusseam/pkg/experiment"
)

type experimentOptions struct {
	Seeds   int    `long:"seeds" default:"4" description:"number of seeds, from 1"`
	Pattern string `long:"pattern" description:"play only the patterns whose names contain this"`
	Out     string `long:"out" default:"out/experiment.csv" description:"file for the results"`
	Against string `long:"against" description:"results of an earlier version with the same seeds"`
	Plot    string `long:"plot" description:"file for a plot: .png, .svg or .pdf"`
	Jobs    int    `long:"jobs" description:"runs at once; half of the processors by default"`
}

// Experiment plays patterns in virtual time.
func Experiment(args []string) int {
	var o experimentOptions
	if status, proceed := parse(&o, "crocus-experiment", args); !proceed {
		return status
	}
	if o.Seeds < 1 || o.Jobs < 0 {
		return fail(ExitUsage, fmt.Errorf("seeds is %d and jobs %d; at least 1 and 0 are allowed", o.Seeds, o.Jobs))
	}
	before, err := earlierResults(o.Against)
	if err != nil {
		return fail(ExitUsage, err)
	}
	results := runPatterns(&o)
	if len(results) == 0 {
		return fail(ExitUsage, fmt.Errorf("no pattern contains %q", o.Pattern))
	}
	if err := writeResults(o.Out, results); err != nil {
		return fail(ExitFailed, err)
	}
	summaries := experiment.Summarize(results, before)
	printSummaries(summaries, len(before) > 0)
	if o.Plot != "" {
		if err := experiment.Plot(o.Plot, summaries); err != nil {
			return fail(ExitFailed, err)
		}
	}
	if slices.ContainsFunc(summaries, func(s experiment.Summary) bool { return s.Breaches > 0 }) {
		fmt.Println("An invariant broke.")
		return ExitFailed
	}
	return ExitOK
}

func earlierResults(path string) ([]experiment.Result, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // read only
	return experiment.Read(file)
}

func runPatterns(o *experimentOptions) []experiment.Result {
	var mu sync.Mutex
	var results []experiment.Result
	var group errgroup.Group
	group.SetLimit(max(o.Jobs, 1))
	if o.Jobs == 0 {
		group.SetLimit(max(1, runtime.NumCPU()/2))
	}
	for _, p := range experiment.Patterns {
		if !strings.Contains(p.Name, o.Pattern) {
			continue
		}
		for seed := range o.Seeds {
			group.Go(func() error {
				r := experiment.Run(p, uint64(seed+1))
				mu.Lock()
				defer mu.Unlock()
				results = append(results, r)
				return nil
			})
		}
	}
	_ = group.Wait() // runs report no errors
	slices.SortFunc(results, func(a, b experiment.Result) int {
		if c := strings.Compare(a.Pattern, b.Pattern); c != 0 {
			return c
		}
		return int(a.Seed) - int(b.Seed)
	})
	return results
}

func writeResults(path string, results []experiment.Result) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := experiment.Write(file, results); err != nil {
		_ = file.Close() // the first error says more
		return err
	}
	return file.Close()
}

func printSummaries(summaries []experiment.Summary, paired bool) {
	fmt.Printf("%-42s %8s %10s %8s", "PATTERN", "CREDIT", "REFERENCE", "SHARE")
	if paired {
		fmt.Printf(" %8s %8s", "BEFORE", "WORST")
	}
	fmt.Println()
	for _, s := range summaries {
		fmt.Printf("%-42s %8.4f %10.4f %8.4f", s.Pattern, s.Credit, s.Reference, s.Credit/max(s.Reference, 1e-9))
		if paired {
			fmt.Printf(" %8.4f %+8.4f", s.Before, s.Worst)
		}
		fmt.Println()
	}
}
