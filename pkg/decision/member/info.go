package member

// Info describes one incarnation of an instance.
type Info struct {
	ID     string `json:"id"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Cell names the group of instances that exchange heartbeats. An empty
	// value means the zone.
	Cell        string `json:"cell,omitempty"`
	Incarnation string `json:"incarnation"`
	// Listener addresses, each an IP address and a port.
	CallerAddress string `json:"caller_address,omitempty"`
	HopAddress    string `json:"hop_address,omitempty"`
	PeerAddress   string `json:"peer_address,omitempty"`
	AdminAddress  string `json:"admin_address,omitempty"`
	// AdminTLS is set when the admin listener accepts only TLS.
	AdminTLS bool `json:"admin_tls,omitempty"`
	// LinkMbps is the speed of the instance's link in Mbit/s; zero if it is not known. Its
	// name in messages is one that their compression dictionary contains.
	LinkMbps int `json:"weight,omitempty"`
	// Leaving is set once the instance begins to stop. It is never reset within
	// an incarnation.
	Leaving bool `json:"leaving,omitempty"`
}

// EffectiveCell returns Cell, or Zone when Cell is empty.
func (in *Info) EffectiveCell() string {
	if in.Cell != "" {
		return in.Cell
	}
	return in.Zone
}
