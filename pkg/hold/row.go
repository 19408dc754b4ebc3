package hold

import (
	"encoding/json"
	"fmt"
	"strings"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/storage"
)

// DomainPrefix returns the key prefix of the holds of a failure domain. They form
// one partition of the table, so that a single commit can cover a domain.
func DomainPrefix(domain string) string { return "holds:" + domain + "/" }

// Row is the value of the table row of one hold. The row's version is the fencing
// token.
type Row struct {
	Holder instance.ID
	Born   int64 // of the endpoint's incarnation, see workload.EndpointID
}

// Key returns the key of the row of an endpoint's hold.
func Key(domain, endpoint string) string { return DomainPrefix(domain) + endpoint }

// endpointOf returns the endpoint whose row has this key. Its name may contain a slash, the
// domain before it may not.
func endpointOf(key string) string {
	_, name, _ := strings.Cut(key, "/")
	return name
}

func encodeRow(r Row) []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic("cannot encode hold row: " + err.Error())
	}
	return value
}

func decodeRow(row *storage.Row) (Row, error) {
	var r Row
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Row{}, fmt.Errorf("cannot decode hold row %q: %w", row.Key, err)
	}
	return r, nil
}
