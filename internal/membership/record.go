package membership

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Record is everything known about the instances with one name.
type Record struct {
	Name     string
	Platform PlatformState
	Self     SelfState
	// Doubt is the latest suspicion; it is empty if there is none.
	Doubt Suspicion
}

// Suspicion records that a peer could not reach the process of the epoch.
type Suspicion struct {
	Epoch uint64
	// Beat is one more than the SelfState.Beat that the peer knew. The process refutes
	// the suspicion by reporting a state with this beat.
	Beat uint64
}

// PlatformState is the state of an instance in the platform's list.
type PlatformState struct {
	// Version is the platform's resource version; 0 means that the instance was never listed.
	Version uint64
	// Removed means that the instance left the list at Version.
	Removed bool
	// SupersededEpoch is the highest epoch of a process that a removal or a change of
	// the address has superseded.
	SupersededEpoch uint64
	// Instance is empty when Removed is set.
	Instance fleet.InstanceRecord
}

// SelfState is the self-reported state of a process.
type SelfState struct {
	// Epoch is the Unix time of the process's start in milliseconds, or more if an
	// earlier process of the name had a higher epoch; 0 means that no process has
	// reported itself.
	Epoch uint64
	// Beat is raised by the process to refute a suspicion.
	Beat uint64
	// Instance has the incarnation set. Its phase is leaving as soon as the process
	// announces that it is leaving.
	Instance fleet.InstanceRecord
}

// ParseVersion parses a resource version of the platform.
func ParseVersion(resourceVersion string) (uint64, error) {
	v, err := strconv.ParseUint(resourceVersion, 10, 64)
	return v, errors.Wrapf(err, "resourceVersion %q", resourceVersion)
}

// Check returns an error if the record is malformed.
func (r Record) Check() error {
	if r.Name == "" || len(r.Name) > maxFieldBytes {
		return errors.Errorf("record has a name of %d bytes", len(r.Name))
	}
	for _, i := range []fleet.InstanceRecord{r.Platform.Instance, r.Self.Instance} {
		if i.Name != "" && i.Name != r.Name {
			return errors.Errorf("record of %s describes %s", r.Name, i.Name)
		}
		for _, s := range []string{string(i.Role), i.FailureDomain, i.Address, i.Stage, i.Upstream, string(i.Phase), i.Incarnation} {
			if len(s) > maxFieldBytes {
				return errors.Errorf("record of %s has a field of %d bytes", r.Name, len(s))
			}
		}
	}
	return nil
}

// join merges two records into one with the later state of each kind. It is
// commutative, associative and idempotent.
func join(a, b Record) Record {
	r := Record{Name: a.Name, Platform: joinPlatform(a.Platform, b.Platform), Self: joinSelf(a.Self, b.Self)}
	if r.Self.Epoch <= r.Platform.SupersededEpoch {
		r.Self = SelfState{}
	}
	r.Doubt = joinSuspicion(a.Doubt, b.Doubt)
	superseded := r.Platform.SupersededEpoch > 0 && r.Doubt.Epoch <= r.Platform.SupersededEpoch
	if superseded || r.Doubt.Epoch < r.Self.Epoch {
		r.Doubt = Suspicion{}
	}
	return r
}

func joinSuspicion(a, b Suspicion) Suspicion {
	if b.Epoch > a.Epoch || (b.Epoch == a.Epoch && b.Beat > a.Beat) {
		return b
	}
	return a
}

// isSuspected reports whether there is a suspicion that the process has not refuted.
func (r Record) isSuspected() bool {
	return r.Doubt.Epoch == r.Self.Epoch && r.Doubt.Beat > r.Self.Beat
}

func joinPlatform(a, b PlatformState) PlatformState {
	p := a
	if b.Version > a.Version || (b.Version == a.Version && isAfter(b, a)) {
		p = b
	}
	p.SupersededEpoch = max(a.SupersededEpoch, b.SupersededEpoch)
	return p
}

// isAfter orders states of one version: a removal that was derived from a list without
// the instance can have the version of the instance's last change.
func isAfter(b, a PlatformState) bool {
	if a.Removed != b.Removed {
		return b.Removed
	}
	return hashInstance(b.Instance) > hashInstance(a.Instance)
}

func joinSelf(a, b SelfState) SelfState {
	if a.Epoch == b.Epoch && a.Instance.Incarnation == b.Instance.Incarnation {
		return joinIncarnation(a, b)
	}
	if b.Epoch > a.Epoch || (b.Epoch == a.Epoch && b.Instance.Incarnation > a.Instance.Incarnation) {
		return b
	}
	return a
}

// joinIncarnation merges two states of one process; the result is leaving if either is.
func joinIncarnation(a, b SelfState) SelfState {
	if a.Instance.Phase == fleet.PhaseLeaving || b.Instance.Phase == fleet.PhaseLeaving {
		a.Instance.Phase, b.Instance.Phase = fleet.PhaseLeaving, fleet.PhaseLeaving
	}
	beat := max(a.Beat, b.Beat)
	if hashInstance(b.Instance) > hashInstance(a.Instance) {
		a = b
	}
	a.Beat = beat
	return a
}

// view returns the instance as the table's queries return it, and whether there is one.
func (r Record) view() (fleet.InstanceRecord, bool) {
	listed := r.Platform.Version > 0 && !r.Platform.Removed
	hasReported := r.Self.Epoch > r.Platform.SupersededEpoch
	if !hasReported {
		return r.Platform.Instance, listed
	}
	i := r.Self.Instance
	if listed && r.Platform.Instance.Phase == fleet.PhaseLeaving {
		i.Phase = fleet.PhaseLeaving
	}
	return i, true
}

// hash covers all fields in which two tables can differ.
func (r Record) hash() uint64 {
	d := xxhash.New()
	writeField(d, r.Name)
	writeNumber(d, r.Platform.Version)
	writeNumber(d, r.Platform.SupersededEpoch)
	writeField(d, strconv.FormatBool(r.Platform.Removed))
	writeInstance(d, r.Platform.Instance)
	writeNumber(d, r.Self.Epoch)
	writeNumber(d, r.Self.Beat)
	writeNumber(d, r.Doubt.Epoch)
	writeNumber(d, r.Doubt.Beat)
	writeInstance(d, r.Self.Instance)
	return d.Sum64()
}

// Hash returns a hash that is equal for equal states.
func (s SelfState) Hash() uint64 {
	d := xxhash.New()
	writeNumber(d, s.Epoch)
	writeNumber(d, s.Beat)
	writeInstance(d, s.Instance)
	return d.Sum64()
}

func hashInstance(i fleet.InstanceRecord) uint64 {
	d := xxhash.New()
	writeInstance(d, i)
	return d.Sum64()
}

func writeInstance(d *xxhash.Digest, i fleet.InstanceRecord) {
	writeField(d, i.Name)
	writeField(d, string(i.Role))
	writeField(d, i.FailureDomain)
	writeField(d, i.Address)
	writeField(d, i.Stage)
	writeField(d, i.Upstream)
	writeField(d, string(i.Phase))
	writeField(d, i.Incarnation)
}

func writeField(d *xxhash.Digest, s string) {
	_, _ = d.WriteString(s)
	_, _ = d.Write([]byte{0})
}

func writeNumber(d *xxhash.Digest, n uint64) { writeField(d, strconv.FormatUint(n, 36)) }
