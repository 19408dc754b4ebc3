package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sort"
	"time"

	"crocusseam/pkg/burn"
	"crocusseam/pkg/document"
	"crocusseam/pkg/storage"
	"crocusseam/service/entry"
)

type reportOptions struct {
	globalOptions
	HTML string `long:"html" description:"file to write the report to as one page"`
}

const (
	worstEndpoints = 10
	maxSheets      = 5000
)

// Report prints the report on service-level burn.
func Report(args []string) int {
	var o reportOptions
	if status, proceed := parse(&o, "crocus-report", args); !proceed {
		return status
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	defer cancel()
	s := &session{options: o.globalOptions, ctx: ctx, out: os.Stdout}
	report, err := s.burnReport()
	if err != nil {
		s.printError(err)
		return exitStatus(err)
	}
	if o.HTML != "" {
		if err := writeHTML(o.HTML, report); err != nil {
			return fail(ExitFailed, err)
		}
	}
	_ = s.print(report, func() { report.Print(os.Stdout) })
	return ExitOK
}

func writeHTML(path string, report *burn.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := report.WriteHTML(file); err != nil {
		return errors.Join(err, file.Close())
	}
	return file.Close()
}

// burnReport gathers the sheets of all instances from the table, and what the
// live instances say of waste and endpoints.
func (s *session) burnReport() (*burn.Report, error) {
	status, e, err := s.loadStatus()
	if err != nil {
		return nil, err
	}
	rows, err := e.Table.Scan(s.ctx, entry.BurnPrefix, maxSheets)
	if err != nil {
		return nil, err
	}
	sheets, err := parseSheets(rows)
	if err != nil {
		return nil, err
	}
	text, err := e.Document(s.ctx, status.Digest)
	if err != nil {
		return nil, err
	}
	d, err := document.Parse(text)
	if err != nil {
		return nil, err
	}
	report := burn.NewReport(e.Name, d, sheets, time.Now())
	report.WastedByKind = make(map[string]uint64)
	for _, i := range status.Instances {
		if i.Reached {
			addInstance(report, &i)
		}
	}
	sortWorst(report)
	return report, nil
}

func parseSheets(rows []storage.Row) ([]burn.Sheet, error) {
	sheets := make([]burn.Sheet, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &sheets[i]); err != nil {
			return nil, fmt.Errorf("read row %s: %w", row.Key, err)
		}
	}
	return sheets, nil
}

func addInstance(r *burn.Report, i *instanceStatus) {
	r.Starts += i.Status.Counters.Starts
	for kind, n := range i.Status.Counters.WastedByKind() {
		r.WastedByKind[kind] += n
	}
	for _, p := range i.Status.Endpoints {
		if p.Held {
			r.Worst = append(r.Worst, burn.EndpointState{
				Address: p.Address.String(), Instance: i.Status.Instance, Speed: p.Speed, Failures: p.Failures, Ejected: p.Ejected,
			})
		}
	}
}

func sortWorst(r *burn.Report) {
	sort.Slice(r.Worst, func(i, j int) bool {
		a, b := r.Worst[i], r.Worst[j]
		if a.Ejected != b.Ejected {
			return a.Ejected
		}
		if a.Failures != b.Failures {
			return a.Failures > b.Failures
		}
		if a.Speed != b.Speed {
			return a.Speed < b.Speed
		}
		return a.Address < b.Address
	})
	if len(r.Worst) > worstEndpoints {
		r.Worst = r.Worst[:worstEndpoints]
	}
}
