package fleet

// Role is what an instance does.
type Role string

const (
	// RoleEntry marks an entry instance.
	RoleEntry Role = "entry"
	// RoleSidecar marks a sidecar, which stands for its upstream.
	RoleSidecar Role = "sidecar"
	// RoleGateway marks a gateway, which serves callers in front of upstreams without
	// sidecars.
	RoleGateway Role = "gateway"
)

// Phase is the life cycle phase of an instance.
type Phase string

const (
	// PhaseLive instances take new work.
	PhaseLive Phase = "live"
	// PhaseLeaving instances finish what they run and take no new work.
	PhaseLeaving Phase = "leaving"
)

// InstanceRecord is what is known of one instance.
type InstanceRecord struct {
	// Name is unique among instances; a replacement may take it over.
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
	// Incarnation identifies one start of the process, where the process itself reported it.
	Incarnation string `json:"incarnation,omitempty"`
}
