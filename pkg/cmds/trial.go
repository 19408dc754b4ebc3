package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"crocusseam/pkg/routing"
	"crocusseam/pkg/trial"
)

type trialOptions struct {
	Seed     uint64        `long:"seed" default:"1" description:"seed of the load"`
	Length   time.Duration `long:"length" default:"25s" description:"how long jobs are submitted"`
	Share    float64       `long:"share" default:"0.7" description:"offered work as a part of the speed of all slots"`
	Policy   string        `long:"policy" default:"EarliestCompletion" choice:"EarliestCompletion" choice:"Random" choice:"RoundRobin" description:"routing policy"`
	NoFaults bool          `long:"no-faults" description:"crash, stop and drain nothing"`
	Out      string        `long:"out" default:"out/trial.json" description:"file for the report"`
	Log      string        `long:"log" default:"off" description:"log level of the instances: off, debug, info, warn, error"`
	Gate     bool          `long:"gate" description:"run gates on stand-ins of the users' platform instead"`
	Rate     float64       `long:"rate" default:"0.3" description:"load of a trial of gates; 1 keeps 79 tasks of 27 processors at work"`
}

// Trial runs a whole environment in this process and reports whether it broke an
// invariant.
func Trial(args []string) int {
	var o trialOptions
	if status, proceed := parse(&o, "crocus-trial", args); !proceed {
		return status
	}
	if o.Gate {
		return gateTrial(&o)
	}
	logger, err := newLogger(o.Log)
	if err != nil {
		return fail(ExitUsage, err)
	}
	load := trial.DefaultLoad()
	load.Seed, load.Length, load.Share = o.Seed, o.Length, o.Share
	report, err := trial.Run(context.Background(), trial.Config{
		Load: load, Policy: routing.PolicyName(o.Policy), Faults: !o.NoFaults, Progress: os.Stderr, Logger: logger,
	})
	if err != nil {
		return fail(ExitFailed, err)
	}
	report.Print(os.Stdout)
	if err := writeReport(o.Out, report); err != nil {
		return fail(ExitFailed, err)
	}
	fmt.Println("The report is in", o.Out)
	if report.Broken() {
		fmt.Println("An invariant broke.")
		return ExitFailed
	}
	return ExitOK
}

const (
	gateDomains   = 3
	gateInstances = 2 // in each domain
	gateEndpoints = 8 // in each domain
)

// gateTrial runs gates on stand-ins of the users' platform and reports whether they
// broke an invariant.
func gateTrial(o *trialOptions) int {
	if o.Rate <= 0 || o.Length <= 0 {
		return fail(ExitUsage, fmt.Errorf("rate is %v and length %s; both must be above 0", o.Rate, o.Length))
	}
	report, err := trial.RunGate(context.Background(), trial.GateConfig{
		Domains: gateDomains, Instances: gateInstances, Endpoints: gateEndpoints, Rate: o.Rate, For: o.Length, Seed: o.Seed,
	})
	if err != nil {
		return fail(ExitFailed, err)
	}
	fmt.Printf("%d jobs through %d gates, one killed and one stopped: %d completed, %d in time, %d failed, %d refused, %d timed out, %d without an answer\n",
		report.Jobs, gateDomains*gateInstances, report.Completed, report.InTime, report.Failed, report.Refused, report.TimedOut, report.Broken)
	if err := writeReport(o.Out, report); err != nil {
		return fail(ExitFailed, err)
	}
	if len(report.Breaches) > 0 {
		fmt.Printf("An invariant broke, %d times; first: %s\n", len(report.Breaches), report.Breaches[0])
		return ExitFailed
	}
	return ExitOK
}

func writeReport(path string, report any) error {
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
