package membership

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Record is all that is known of the instances with one name.
type Record struct {
	Name     string
	Platform PlatformState
	Self     SelfState
	Doubt    Suspicion
}

// Suspicion says that a peer could not reach the process of the epoch.
type Suspicion struct {
	Epoch uint64
	// Beat is one more than the SelfStatement.Beat that the peer knew. The process
	// answers with a statement of this beat.
	Beat uint64
}

// PlatformState is what the platform's list says of an instance.
type PlatformState struct {
	// Version is the platform's resource version; 0 means that it never listed the instance.
	Version uint64
	// Removed means that the instance left the list at Version.
	Removed bool
	// SupersededEpoch is the highest epoch of a process that a removal or a move to
	// another address has ended.
	SupersededEpoch uint64
	// Instance is empty when Removed is set.
	Instance fleet.InstanceRecord
}

// SelfState is what a process says of itself.
type SelfState struct {
	// Epoch is the Unix time of the process's start in milliseconds, or more if a
	// process before it had claimed the name with a higher one; 0 means that none has spoken.
	Epoch uint64
	// Beat is raised by the process to answer a doubt.
	Beat uint64
	// Instance has the incarnation set; its phase is leaving from the announcement on.
	Instance fleet.InstanceRecord
}

// ParseVersion returns the number of a resource version of the platform.
func ParseVersion(resourceVersion string) (uint64, error) {
	v, err := strconv.ParseUint(resourceVersion, 10, 64)
	return v, errors.Wrapf(err, "resourceVersion %q", resourceVersion)
}

// Check reports whether the record can be kept.
func (r Record) Check() error {
	if r.Name == "" || len(r.Name) > maxFieldBytes {
		return errors.Errorf("name of %d bytes", len(r.Name))
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

// join returns the later statements of both records. It is commutative,
// associative and idempotent.
func join(a, b Record) Record {
	r := Record{Name: a.Name, Platform: joinPlatform(a.Platform, b.Platform), Self: joinSelf(a.Self, b.Self)}
	if r.Self.Epoch <= r.Platform.SupersededEpoch {
		r.Self = SelfState{}
	}
	r.Doubt = joinDoubt(a.Doubt, b.Doubt)
	ended := r.Platform.SupersededEpoch > 0 && r.Doubt.Epoch <= r.Platform.SupersededEpoch
	if ended || r.Doubt.Epoch < r.Self.Epoch {
		r.Doubt = Suspicion{}
	}
	return r
}

func joinDoubt(a, b Suspicion) Suspicion {
	if b.Epoch > a.Epoch || (b.Epoch == a.Epoch && b.Beat > a.Beat) {
		return b
	}
	return a
}

// isDoubted reports whether the process has not answered a doubt.
func (r Record) isDoubted() bool {
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

// isAfter orders statements of one version: the removal that a list without the
// instance shows can have the version of the instance's last change.
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

// joinIncarnation keeps "leaving" of either statement of one process.
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

// view returns the instance as the serving code sees it, and whether there is one.
func (r Record) view() (fleet.InstanceRecord, bool) {
	listed := r.Platform.Version > 0 && !r.Platform.Removed
	spoken := r.Self.Epoch > r.Platform.SupersededEpoch
	if !spoken {
		return r.Platform.Instance, listed
	}
	i := r.Self.Instance
	if listed && r.Platform.Instance.Phase == fleet.PhaseLeaving {
		i.Phase = fleet.PhaseLeaving
	}
	return i, true
}

// hash covers everything in which two tables can differ.
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

// Hash is equal for equal statements.
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
