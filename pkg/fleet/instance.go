package fleet

// Role is the role of an instance.
type Role string

const (
	// RoleEntry marks an entry instance.
	RoleEntry Role = "entry"
	// RoleSidecar marks a sidecar, which represents its upstream.
	RoleSidecar Role = "sidecar"
	// RoleGateway marks a gateway, which forwards callers' requests to upstreams that
	// have no sidecars.
	RoleGateway Role = "gateway"
)

// Phase is the life cycle phase of an instance.
type Phase string

const (
	// PhaseLive instances accept new work.
	PhaseLive Phase = "live"
	// PhaseLeaving instances drain: they finish their work in progress and accept no new work.
	PhaseLeaving Phase = "leaving"
)

// InstanceRecord describes one instance.
type InstanceRecord struct {
	// Name is unique among instances; a replacement instance may reuse it.
	Name          string `json:"name"`
	Role          Role   `json:"role"`
	FailureDomain string `json:"failureDomain"`
	// Address is the IP address and port of the instance's peer listener.
	Address string `json:"address"`
	// Stage is the stage that a sidecar's upstream serves.
	Stage string `json:"stage,omitempty"`
	// Upstream is the name of a sidecar's upstream.
	Upstream string `json:"upstream,omitempty"`
	Phase    Phase  `json:"phase"`
	// Incarnation identifies one start of the process. It is empty in a record that was not
	// written by the process, such as that of a sidecar in the platform's instance list.
	Incarnation string `json:"incarnation,omitempty"`
}
