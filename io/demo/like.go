package demo

import (
	"fmt"
	"io/fs"
	"path"
	"slices"
	"strings"
	"time"

	"comfreypulley/core/model"
	"comfreypulley/io/conf"
	"comfreypulley/io/stub"
)

// like is one of today's users: its example settings and what these do not say.
type like struct {
	fleet    *model.Topology
	settings []*conf.Settings // of the VMs, ascending by id
	zones    []model.Zone     // ascending

	distance time.Duration // one way between zones
	lookup   string        // index of the quick lookups
	record   string        // index of the non-idempotent requests
	quiet    string        // customer whose latency counts most
	noisy    string        // another customer of the same index
}

// readLike reads the example settings of a user, with the first vms VMs.
func readLike(examples fs.FS, name string, vms int) (l *like, err error) {
	switch name {
	case "tabadul":
		l = &like{distance: 500 * time.Microsecond, lookup: "pairing", record: "placement", quiet: "caseworkers", noisy: "families"}
	case "kilimo":
		l = &like{distance: 1500 * time.Microsecond, lookup: "closure", record: "archive", quiet: "dispatch", noisy: "authors"}
	default:
		return nil, fmt.Errorf("shape %q is not one of kilimo, tabadul", name)
	}
	file := path.Join(name, "fleet.ini")
	raw, err := fs.ReadFile(examples, file)
	if err != nil {
		return nil, err
	}
	if l.fleet, err = conf.ParseFleet(file, raw); err != nil {
		return nil, err
	}
	if err := l.readVMs(examples, name); err != nil {
		return nil, err
	}
	if vms < 0 || vms > len(l.settings) {
		return nil, fmt.Errorf("vms must be between 1 and %d, or 0 for all, not %d", len(l.settings), vms)
	}
	if vms > 0 {
		l.settings = l.settings[:vms]
	}
	for _, u := range l.fleet.Upstreams {
		if !slices.Contains(l.zones, u.Zone) {
			l.zones = append(l.zones, u.Zone)
		}
	}
	slices.Sort(l.zones)
	return l, nil
}

func (l *like) readVMs(examples fs.FS, name string) error {
	files, err := fs.Glob(examples, path.Join(name, "vm*.ini"))
	if err != nil {
		return err
	}
	for _, file := range files {
		raw, err := fs.ReadFile(examples, file)
		if err != nil {
			return err
		}
		s, err := conf.ParseSettings(file, raw)
		if err != nil {
			return err
		}
		l.settings = append(l.settings, s)
	}
	return nil
}

// widen replaces the upstreams of the lookups by two replicas of each of many
// shards, all in the zone of the first VM, so that each has one address.
func (l *like) widen(shards int) {
	const replicas = 2
	l.zones = []model.Zone{l.settings[0].VM.Zone}
	sample := l.upstreams(l.lookup)[0]
	sample.Zone = l.zones[0]
	l.fleet.Upstreams = make(map[model.UpstreamID]model.Upstream, shards*replicas)
	for i := range shards * replicas {
		sample.ID = model.UpstreamID(fmt.Sprintf("%s-%05d-%d", l.lookup, i/replicas, i%replicas))
		l.fleet.Upstreams[sample.ID] = sample
	}
}

// upstreams lists those of an index, ascending by id.
func (l *like) upstreams(index string) []model.Upstream {
	var list []model.Upstream
	for _, u := range l.fleet.Upstreams {
		if u.Index == index {
			list = append(list, u)
		}
	}
	slices.SortFunc(list, func(a, b model.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// holdings returns the first holding of each upstream of an index. The ids in
// the examples are INDEX-SERVICE-REPLICA, and a service is one shard.
func (l *like) holdings(index string) map[model.UpstreamID]stub.HeldSnapshot {
	list := l.upstreams(index)
	var services []string
	for _, u := range list {
		services = append(services, service(u.ID))
	}
	services = slices.Compact(services)
	holds := make(map[model.UpstreamID]stub.HeldSnapshot, len(list))
	for _, u := range list {
		holds[u.ID] = stub.HeldSnapshot{
			Index: index, Version: 1, ShardCount: len(services), HeldShards: []int{slices.Index(services, service(u.ID))},
		}
	}
	return holds
}

func service(id model.UpstreamID) string {
	text := string(id)
	return text[:max(0, strings.LastIndex(text, "-"))]
}

func replicaOf(id model.UpstreamID) string {
	return strings.TrimPrefix(string(id), service(id))
}

// secret is that of a customer of the examples.
func secret(customer string) string {
	return customer + "-example"
}
