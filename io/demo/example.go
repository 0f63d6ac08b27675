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

// example holds the settings of an example fleet, and what a demo needs to know
// beyond them.
type example struct {
	topology *model.Topology
	settings []*conf.Settings // of the VMs, ascending by id
	zones    []model.Zone     // of the upstreams, ascending

	zoneLatency   time.Duration // one-way latency between zones
	queryIndex    string        // index of the idempotent queries
	recordIndex   string        // index of the non-idempotent requests
	quietCustomer string        // customer of queryIndex whose latency is measured
	noisyCustomer string        // another customer of queryIndex
}

// readExample reads the example with the given name and keeps its first vms VMs.
// It keeps all VMs when vms is 0.
func readExample(examples fs.FS, name string, vms int) (e *example, err error) {
	switch name {
	case "tabadul":
		e = &example{
			zoneLatency: 500 * time.Microsecond, queryIndex: "pairing", recordIndex: "placement",
			quietCustomer: "caseworkers", noisyCustomer: "families",
		}
	case "kilimo":
		e = &example{
			zoneLatency: 1500 * time.Microsecond, queryIndex: "closure", recordIndex: "archive",
			quietCustomer: "dispatch", noisyCustomer: "authors",
		}
	default:
		return nil, fmt.Errorf("example %q is not one of kilimo, tabadul", name)
	}
	file := path.Join(name, "fleet.ini")
	raw, err := fs.ReadFile(examples, file)
	if err != nil {
		return nil, err
	}
	if e.topology, err = conf.ParseFleet(file, raw); err != nil {
		return nil, err
	}
	if err := e.readVMs(examples, name); err != nil {
		return nil, err
	}
	if vms < 0 || vms > len(e.settings) {
		return nil, fmt.Errorf("vms must be between 1 and %d, or 0 for all, not %d", len(e.settings), vms)
	}
	if vms > 0 {
		e.settings = e.settings[:vms]
	}
	for _, u := range e.topology.Upstreams {
		if !slices.Contains(e.zones, u.Zone) {
			e.zones = append(e.zones, u.Zone)
		}
	}
	slices.Sort(e.zones)
	return e, nil
}

func (e *example) readVMs(examples fs.FS, name string) error {
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
		e.settings = append(e.settings, s)
	}
	return nil
}

// setShardCount replaces the upstreams of queryIndex by two replicas of each of
// the given number of shards. All are in the zone of the first VM.
func (e *example) setShardCount(shards int) {
	const replicas = 2
	e.zones = []model.Zone{e.settings[0].VM.Zone}
	sample := e.upstreams(e.queryIndex)[0]
	sample.Zone = e.zones[0]
	e.topology.Upstreams = make(map[model.UpstreamID]model.Upstream, shards*replicas)
	for i := range shards * replicas {
		sample.ID = model.UpstreamID(fmt.Sprintf("%s-%05d-%d", e.queryIndex, i/replicas, i%replicas))
		e.topology.Upstreams[sample.ID] = sample
	}
}

// upstreams returns the upstreams of an index, ascending by id.
func (e *example) upstreams(index string) []model.Upstream {
	var list []model.Upstream
	for _, u := range e.topology.Upstreams {
		if u.Index == index {
			list = append(list, u)
		}
	}
	slices.SortFunc(list, func(a, b model.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// snapshots returns the snapshot that each upstream of an index holds at first.
// Upstream ids have the form INDEX-SERVICE-REPLICA, and a service has one shard.
func (e *example) snapshots(index string) map[model.UpstreamID]stub.HeldSnapshot {
	list := e.upstreams(index)
	var services []string
	for _, u := range list {
		services = append(services, serviceOf(u.ID))
	}
	services = slices.Compact(services)
	holds := make(map[model.UpstreamID]stub.HeldSnapshot, len(list))
	for _, u := range list {
		holds[u.ID] = stub.HeldSnapshot{
			Index: index, Version: 1, ShardCount: len(services), HeldShards: []int{slices.Index(services, serviceOf(u.ID))},
		}
	}
	return holds
}

func serviceOf(id model.UpstreamID) string {
	text := string(id)
	return text[:max(0, strings.LastIndex(text, "-"))]
}

func replicaSuffix(id model.UpstreamID) string {
	return strings.TrimPrefix(string(id), serviceOf(id))
}

// secretOf returns the secret of an example's customer.
func secretOf(customer string) string {
	return customer + "-example"
}
