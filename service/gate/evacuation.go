package gate

import (
	"slices"
	"strings"

	"go.uber.org/zap"

	"crocusseam/pkg/placement"
	"crocusseam/platform"
)

// evacuationRows keeps the valid rows by which the operator evacuates failure domains. The feed
// brings only the changes, and the control state is always given the complete set.
type evacuationRows struct {
	logger  *zap.Logger
	domains map[string]string // by the row's key
}

func newEvacuationRows(logger *zap.Logger) *evacuationRows {
	return &evacuationRows{logger: logger, domains: make(map[string]string)}
}

// apply applies an answer of the feed or, if complete, of a scan, and returns the set after it. A
// malformed row counts as absent: an instance that reads it by a scan can't know what it was before.
func (r *evacuationRows) apply(rows *platform.Rows, complete bool) placement.EvacuationSet {
	if complete {
		clear(r.domains)
	}
	for i := range rows.Rows {
		row := &rows.Rows[i]
		if !strings.HasPrefix(row.Key, platform.EvacuationPrefix) {
			continue
		}
		delete(r.domains, row.Key)
		if row.Version == 0 {
			continue
		}
		domain, err := platform.DecodeEvacuation(row)
		if err != nil {
			r.logger.Warn("evacuation row skipped", zap.Uint64("Row", uint64(row.Version)), zap.Error(err))
			continue
		}
		r.domains[row.Key] = domain
	}
	set := placement.EvacuationSet{Version: rows.Version}
	for _, domain := range r.domains {
		set.Domains = append(set.Domains, domain)
	}
	slices.Sort(set.Domains)
	return set
}
