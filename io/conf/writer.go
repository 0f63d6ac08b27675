package conf

import (
	"encoding/hex"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
	"gopkg.in/ini.v1"

	"comfreypulley/core/model"
)

// writeErrorClass adds the subject to errors.
var writeErrorClass = errs.Class("write settings")

// WriteFleet writes a configuration in the form that ReadFleet reads. The sections of
// each kind are sorted by name.
func WriteFleet(w io.Writer, t *model.Topology) (err error) {
	f := newWriter()
	for _, id := range slices.Sorted(maps.Keys(t.VMs)) {
		f.vm(t.VMs[id])
	}
	for _, id := range slices.Sorted(maps.Keys(t.Upstreams)) {
		f.upstream(t.Upstreams[id])
	}
	for _, id := range slices.Sorted(maps.Keys(t.Contracts)) {
		f.contract(t.Contracts[id])
	}
	return f.write(w)
}

// WriteContracts writes contracts in the form that ReadContracts reads.
func WriteContracts(w io.Writer, contracts []model.Contract) (err error) {
	f := newWriter()
	for _, c := range contracts {
		f.contract(c)
	}
	return f.write(w)
}

// writer builds an INI file and keeps the first error.
type writer struct {
	ini *ini.File
	err error
}

// keyValue is a key with its value.
type keyValue struct{ key, value string }

func newWriter() *writer {
	return &writer{ini: ini.Empty(iniOptions)}
}

// write writes the file to w, unless building it failed.
func (f *writer) write(w io.Writer) (err error) {
	defer writeErrorClass.WrapP(&err)
	if f.err != nil {
		return f.err
	}
	_, err = f.ini.WriteTo(w)
	return err
}

// section adds a section.
func (f *writer) section(name string, pairs ...keyValue) {
	if f.err != nil {
		return
	}
	section, err := f.ini.NewSection(name)
	if err != nil {
		f.err = err
		return
	}
	for _, p := range pairs {
		if _, err := section.NewKey(p.key, p.value); err != nil {
			f.err = err
			return
		}
	}
}

func (f *writer) vm(v model.VM) {
	pairs := []keyValue{{"zone", string(v.Zone)}, {"peer", v.PeerAddr.String()}, {"disk", formatBool(v.HasDisk)}}
	f.section("vm "+string(v.ID), append(pairs, stateKey(v.State)...)...)
}

func (f *writer) upstream(u model.Upstream) {
	pairs := []keyValue{
		{"zone", string(u.Zone)},
		{"addr", u.Addr.String()},
		{"index", u.Index},
		{"slots", strconv.Itoa(u.Slots)},
		{"conns", strconv.Itoa(u.MaxConns)},
		{"dial", u.DialCost.String()},
	}
	f.section("upstream "+string(u.ID), append(pairs, stateKey(u.State)...)...)
}

func (f *writer) contract(c model.Contract) {
	pairs := []keyValue{
		{"credential", hex.EncodeToString(c.Credential[:])},
		{"indexes", strings.Join(c.Indexes, ", ")},
		{"concurrency", strconv.Itoa(c.Concurrency)},
		{"capacity", formatFloat(c.Capacity)},
		{"extra", formatFloat(c.RetryBudget)},
		{"retention", c.Retention.String()},
	}
	if len(c.Keys) > 0 {
		var keys []string
		for _, key := range c.Keys {
			keys = append(keys, hex.EncodeToString(key[:]))
		}
		pairs = append(pairs, keyValue{"keys", strings.Join(keys, ", ")})
	}
	if c.Limit.Limited() {
		pairs = append(pairs, keyValue{"rate", formatFloat(c.Limit.Rate)})
	}
	if c.Limit.Burst > 0 {
		pairs = append(pairs, keyValue{"burst", formatFloat(c.Limit.Burst)})
	}
	if c.Retired {
		pairs = append(pairs, keyValue{"retired", formatBool(true)})
	}
	f.section("contract "+c.Customer, pairs...)
	for _, class := range c.Classes {
		f.section("class "+c.Customer+" "+class.Name,
			keyValue{"wait", class.Wait.String()},
			keyValue{"price", strconv.FormatInt(class.Price, 10)},
			keyValue{"weight", formatFloat(class.Weight)},
			keyValue{"coverage", formatFloat(class.MinCoverage)},
		)
	}
}

// stateKey returns the key of a state, or nothing for the default, active.
func stateKey(s model.AdminState) []keyValue {
	if s == model.StateActive {
		return nil
	}
	return []keyValue{{"state", s.String()}}
}

func formatBool(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}

func formatFloat(v float64) string {
	return strconv.FormatFloat(v, 'g', -1, 64)
}
