// Package settings holds the settings of the processes of entry instances and
// gates: a JSON file each, and for entry instances also a flag for each setting. It
// loads the certificates of entry instances and creates keys for trials.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
)

// Entry holds the settings of an entry instance. The tags give each setting's flag,
// its default and its description, also for the generated page of settings.
type Entry struct {
	Instance string  `long:"instance" description:"name of the instance, unique in the environment"`
	Domain   string  `long:"domain" description:"failure domain that the instance stands in"`
	Capacity int     `long:"capacity" default:"1" description:"size of the instance relative to the others"`
	Callers  Address `long:"callers" default:"127.0.0.1:0" description:"address to listen at for callers and operators"`
	Peers    Address `long:"peers" default:"127.0.0.1:0" description:"address to listen at for other instances"`
	Platform Address `long:"platform" description:"address of the platform's services"`
	// Plain allows listeners without TLS on other addresses than loopback.
	Plain          bool   `long:"plain" description:"allow listeners without TLS on addresses other than loopback"`
	CallersCert    string `long:"callers-cert" description:"certificate file for callers; empty means no TLS"`
	CallersKey     string `long:"callers-key" description:"key file for callers"`
	PeersCert      string `long:"peers-cert" description:"certificate file for mutual TLS between instances; empty means no TLS"`
	PeersKey       string `long:"peers-key" description:"key file for mutual TLS between instances"`
	PeersAuthority string `long:"peers-authority" description:"certificate file of the authority that signs the instances' certificates"`
	MaxTasks       int    `long:"max-tasks" default:"1000" description:"most tasks of a submission"`
	MaxBodyBytes   int64  `long:"max-body-bytes" default:"8388608" description:"longest body of a caller's request"`
	MaxReadBytes   int64  `long:"max-read-bytes" default:"0" description:"memory for all bodies that are being read or decoded, of which those above 64 KB may use three quarters; 0 means 64 MB, or three times MaxBodyBytes if that is more"`
	MaxOpenBytes   int64  `long:"max-open-bytes" default:"0" description:"memory for accepted submissions and their outputs until they are forgotten, half a minute after their answer or, above half of it, as soon as that is recorded; submissions above 64 KB may use half; 0 means four times MaxReadBytes"`
	MaxConnections int    `long:"max-connections" default:"4000" description:"most connections of callers; above it idle ones are closed, the longest idle first"`
	WritesPerSec   int    `long:"writes-per-sec" default:"50" description:"commits a second that the instance may make for claims and outcomes"`
	Log            string `long:"log" default:"off" description:"log level: off, debug, info, warn, error"`
	LogLayers      string `long:"log-layers" description:"layers to log, such as peers,platform; empty means all"`
}

// ErrSetting is the error for a setting with an invalid value.
type ErrSetting struct {
	Name    string
	Value   string
	Allowed string
}

func (e *ErrSetting) Error() string {
	return fmt.Sprintf("setting %s is %q; allowed: %s", e.Name, e.Value, e.Allowed)
}

// Load reads a settings file into s. Settings that the file leaves out keep the
// values that s has; an unknown setting is an error.
func Load[T any](path string, s *T) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read the settings")
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	return eris.Wrapf(decoder.Decode(s), "read the settings in %s", path)
}

// LoadKnown is like Load, but ignores unknown settings: while a newer program is
// being installed, an older one may read a file with settings it does not know.
func LoadKnown[T any](path string, s *T) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read the settings")
	}
	return eris.Wrapf(json.Unmarshal(text, s), "read the settings in %s", path)
}

const minReadBytes = 1 << 20

// Validate checks all settings. It returns *ErrSetting for the first invalid one.
func (s *Entry) Validate() error {
	switch {
	case s.Instance == "":
		return &ErrSetting{"Instance", s.Instance, "a name that no other instance has"}
	case s.Domain == "":
		return &ErrSetting{"Domain", s.Domain, "a failure domain of the document"}
	case !s.Platform.IsValid():
		return &ErrSetting{"Platform", "", "an IP address and port"}
	case s.Capacity < 1:
		return &ErrSetting{"Capacity", fmt.Sprint(s.Capacity), "1 or more"}
	case s.MaxTasks < 1:
		return &ErrSetting{"MaxTasks", fmt.Sprint(s.MaxTasks), "1 or more"}
	case s.MaxBodyBytes < 1:
		return &ErrSetting{"MaxBodyBytes", fmt.Sprint(s.MaxBodyBytes), "1 or more"}
	case s.MaxReadBytes != 0 && s.MaxReadBytes < max(minReadBytes, 3*s.MaxBodyBytes):
		return &ErrSetting{"MaxReadBytes", fmt.Sprint(s.MaxReadBytes), "0, or 1 MB and three times MaxBodyBytes or more, so that the longest body can be read and decoded"}
	case s.MaxOpenBytes != 0 && s.MaxOpenBytes < 4*s.MaxBodyBytes:
		return &ErrSetting{"MaxOpenBytes", fmt.Sprint(s.MaxOpenBytes), "0, or four times MaxBodyBytes or more, so that the longest submission can be accepted"}
	case s.MaxConnections < 1:
		return &ErrSetting{"MaxConnections", fmt.Sprint(s.MaxConnections), "1 or more"}
	case s.WritesPerSec < 1:
		return &ErrSetting{"WritesPerSec", fmt.Sprint(s.WritesPerSec), "1 or more"}
	}
	return s.validateListeners()
}

// validateListeners checks that listeners on addresses other than loopback use TLS,
// unless Plain allows otherwise, and that certificates come with their keys.
func (s *Entry) validateListeners() error {
	if !s.Callers.Addr().IsLoopback() && s.CallersCert == "" && !s.Plain {
		return &ErrSetting{"Callers", s.Callers.String(), "a loopback address, or CallersCert, or Plain"}
	}
	if !s.Peers.Addr().IsLoopback() && s.PeersCert == "" && !s.Plain {
		return &ErrSetting{"Peers", s.Peers.String(), "a loopback address, or PeersCert, or Plain"}
	}
	if (s.CallersCert == "") != (s.CallersKey == "") {
		return &ErrSetting{"CallersKey", s.CallersKey, "a file together with CallersCert"}
	}
	if s.PeersCert != "" && (s.PeersKey == "" || s.PeersAuthority == "") {
		return &ErrSetting{"PeersKey", s.PeersKey, "a file, together with PeersCert and PeersAuthority"}
	}
	return nil
}
