package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"go.uber.org/zap"

	"crocusseam/pkg/storage"
)

// Burn sheets are kept in the table, one row for each instance and incarnation,
// so that they outlive it.
const (
	// BurnPrefix is the prefix of the keys of burn sheets.
	BurnPrefix     = "burn/"
	burnSavePeriod = 10 * time.Second
	// BurnWindow is how long counts are kept.
	BurnWindow = 6 * time.Hour
)

// recordBurn writes the burn sheet every period, if it has changed, and once
// more at the end.
func (s *Server) saveBurnPeriodically(ctx context.Context) error {
	tick := s.timers.Every(burnSavePeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.controlStopped:
			s.saveBurn(ctx)
			return nil
		case <-tick.C:
			s.saveBurn(ctx)
		}
	}
}

func (s *Server) saveBurn(ctx context.Context) {
	sheet, changed := s.burn.Sheet(s.timers.Now(), BurnWindow)
	if !changed {
		return
	}
	value, err := json.Marshal(sheet)
	if err != nil {
		panic("a burn sheet cannot be encoded: " + err.Error())
	}
	key := fmt.Sprintf("%s%s/%d", BurnPrefix, s.config.Instance, s.config.Incarnation)
	_, err = s.config.Platform.Commit(ctx, []storage.Write{{Key: key, Value: value, Expect: storage.AnyVersion}})
	if err != nil {
		s.burn.MarkUnsaved()
		s.config.Logger.Named("burn").Warn("sheet not saved", zap.Error(err))
	}
}
