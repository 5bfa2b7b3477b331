package roles

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/configuration"
	"bergamotrudder.example/bergamotrudder/internal/membership"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
	"bergamotrudder.example/bergamotrudder/pkg/platform"
	"bergamotrudder.example/bergamotrudder/pkg/settings"
)

// newPlatform returns the client of the platform's object API.
func newPlatform(cfg *settings.Entry, dial peer.DialFunc, scope tally.Scope) *platform.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if dial != nil {
		transport.DialContext = dial
	}
	var rates [platform.ShareCount]platform.Rate
	rates[platform.ShareClaims] = shareRate(cfg.ClaimsRate())
	rates[platform.ShareConfiguration] = shareRate(cfg.ConfigurationRate())
	rates[platform.ShareHousekeeping] = shareRate(cfg.HousekeepingRate())
	return platform.New(platform.Config{
		BaseURL:   "http://" + cfg.PlatformAddress().String(),
		Namespace: cfg.PlatformNamespace(),
		Rates:     rates,
	}, &http.Client{Transport: &tokenTransport{token: cfg.PlatformToken(), next: transport}}, scope)
}

func shareRate(r settings.Rate) platform.Rate {
	return platform.Rate{PerSecond: r.PerSecond(), Burst: r.Burst()}
}

// tokenTransport adds the platform's bearer token, which is read again for each call
// because platforms rotate it.
type tokenTransport struct {
	token settings.SecretSource
	next  http.RoundTripper
}

// RoundTrip sends the request with the token.
func (t *tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if !t.token.IsSet() {
		return t.next.RoundTrip(r)
	}
	token, err := t.token.Read()
	if err != nil {
		return nil, err
	}
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+token)
	return t.next.RoundTrip(r)
}

// NewConfigurationStore returns the configuration's store on the platform's object API.
// Its calls count against the configuration's rate share, and deletions against that of
// housekeeping.
func NewConfigurationStore(c *platform.Client) configuration.Store {
	const share = platform.ShareConfiguration
	return configuration.Store{
		Get: func(ctx context.Context, kind, name string) (configuration.Object, error) {
			return fromPlatform(c.Get(ctx, share, platform.Kind(kind), name))
		},
		Create: func(ctx context.Context, kind string, obj configuration.Object) (configuration.Object, error) {
			return fromPlatform(c.Create(ctx, share, toPlatform(kind, obj)))
		},
		Update: func(ctx context.Context, kind string, obj configuration.Object) (configuration.Object, error) {
			return fromPlatform(c.Update(ctx, share, toPlatform(kind, obj)))
		},
		List: func(ctx context.Context, kind string) ([]configuration.Object, error) {
			list, err := c.List(ctx, share, platform.Kind(kind))
			objects := make([]configuration.Object, 0, len(list.Items))
			for _, obj := range list.Items {
				objects = append(objects, configuration.Object{Name: obj.Name, ResourceVersion: obj.ResourceVersion, Spec: obj.Spec})
			}
			return objects, err
		},
		Delete: func(ctx context.Context, kind, name, resourceVersion string) error {
			return c.Delete(ctx, platform.ShareHousekeeping, platform.Kind(kind), name, resourceVersion)
		},
		IsConflict: func(err error) bool { return platform.IsConflict(err) || platform.IsAlreadyExists(err) },
		IsNotFound: platform.IsNotFound,
		IsWithoutEffect: func(err error) bool {
			return platform.IsNotSent(err) || (err != nil && !platform.IsAmbiguous(err))
		},
	}
}

func toPlatform(kind string, obj configuration.Object) platform.Object {
	return platform.Object{Kind: platform.Kind(kind), Name: obj.Name, ResourceVersion: obj.ResourceVersion, Spec: obj.Spec}
}

func fromPlatform(obj platform.Object, err error) (configuration.Object, error) {
	return configuration.Object{Name: obj.Name, ResourceVersion: obj.ResourceVersion, Spec: obj.Spec}, err
}

// instanceList applies the platform's instance list and its changes to the table.
type instanceList struct {
	table  *membership.Table
	logger *log.Logger
}

func (l *instanceList) replace(list platform.List) {
	version, err := strconv.ParseUint(list.ResourceVersion, 10, 64)
	if err != nil {
		l.logger.Warn().Err(err).Msg("resource version of the instance list is not a number")
		return
	}
	listed := make([]membership.ListedInstance, 0, len(list.Items))
	for _, obj := range list.Items {
		if item, ok := l.parse(obj); ok {
			listed = append(listed, item)
		}
	}
	l.table.Replace(version, listed)
}

func (l *instanceList) apply(event platform.Event) {
	item, ok := l.parse(event.Object)
	switch {
	case event.Type == platform.EventDeleted:
		if version, err := strconv.ParseUint(event.Object.ResourceVersion, 10, 64); err == nil {
			l.table.Remove(event.Object.Name, version)
		}
	case ok:
		l.table.Apply(item)
	}
}

func (l *instanceList) parse(obj platform.Object) (membership.ListedInstance, bool) {
	version, err := strconv.ParseUint(obj.ResourceVersion, 10, 64)
	if err != nil {
		return membership.ListedInstance{}, false
	}
	var record fleet.InstanceRecord
	if err := json.Unmarshal(obj.Spec, &record); err != nil {
		l.logger.Warn().Err(err).Str("instance", obj.Name).Msg("decoding an instance failed")
		return membership.ListedInstance{}, false
	}
	record.Name = obj.Name
	return membership.ListedInstance{Version: version, Instance: record}, true
}
