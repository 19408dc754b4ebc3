package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// Parse reads and validates a document.
func Parse(text []byte) (*Document, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var d Document
	if err := decoder.Decode(&d); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("text follows the document")
	}
	return &d, nil
}
