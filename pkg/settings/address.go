package settings

import "net/netip"

// Address is an IP address and port that the command line can set as a flag.
type Address struct {
	netip.AddrPort
}

// UnmarshalFlag parses the value of a flag. It returns *ErrSetting.
func (a *Address) UnmarshalFlag(text string) error {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return &ErrSetting{"address", text, `an IP address and port such as "10.0.0.1:9000"`}
	}
	a.AddrPort = parsed
	return nil
}
