package hold

import (
	"encoding/json"
	"fmt"
	"strings"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/storage"
)

// DomainPrefix is the prefix of the rows of the holds of a failure domain, which
// are one part of a table, so that one commit covers a domain.
func DomainPrefix(domain string) string { return "holds:" + domain + "/" }

// Row is the row of one hold. Its version is the fencing token.
type Row struct {
	Holder instance.ID
	Born   int64 // of the endpoint's life that the hold is for
}

// Key returns the key of an endpoint's row.
func Key(domain, endpoint string) string { return DomainPrefix(domain) + endpoint }

// endpointOf returns the endpoint whose row has this key.
func endpointOf(key string) string {
	if i := strings.LastIndexByte(key, '/'); i >= 0 {
		return key[i+1:]
	}
	return key
}

func encodeRow(r Row) []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic("a hold's row cannot be encoded: " + err.Error())
	}
	return value
}

func decodeRow(row *storage.Row) (Row, error) {
	var r Row
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Row{}, fmt.Errorf("row %q of a hold: %w", row.Key, err)
	}
	return r, nil
}
