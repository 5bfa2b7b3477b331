package catalog

// Revision is a position in the history of the store. When the store returns to an earlier
// state, a new epoch begins and numbers are given out again, so they are ordered only within
// an epoch.
type Revision struct {
	Epoch  uint64
	Number uint64
}

// After reports whether r is later than other.
func (r Revision) After(other Revision) bool {
	if r.Epoch != other.Epoch {
		return r.Epoch > other.Epoch
	}
	return r.Number > other.Number
}

func (r Revision) isZero() bool { return r == Revision{} }

// latest returns the later one of r and other.
func (r Revision) latest(other Revision) Revision {
	if other.After(r) {
		return other
	}
	return r
}

// Revisions are the store revisions at which the parts of a catalog were read. The epochs are
// separate fields, so that an earlier build can decode the numbers.
type Revisions struct {
	Configuration      uint64 `json:"configuration"`
	Upstreams          uint64 `json:"upstreams"`
	Evacuations        uint64 `json:"evacuations"`
	ConfigurationEpoch uint64 `json:"configurationEpoch"`
	UpstreamsEpoch     uint64 `json:"upstreamsEpoch"`
	EvacuationsEpoch   uint64 `json:"evacuationsEpoch"`
}

// ConfigurationAt returns the revision of the configuration.
func (r Revisions) ConfigurationAt() Revision {
	return Revision{Epoch: r.ConfigurationEpoch, Number: r.Configuration}
}

// UpstreamsAt returns the revision of the upstreams.
func (r Revisions) UpstreamsAt() Revision {
	return Revision{Epoch: r.UpstreamsEpoch, Number: r.Upstreams}
}

// EvacuationsAt returns the revision of the evacuations.
func (r Revisions) EvacuationsAt() Revision {
	return Revision{Epoch: r.EvacuationsEpoch, Number: r.Evacuations}
}
