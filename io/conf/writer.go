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

// writeErrors annotates errors.
var writeErrors = errs.Class("write settings")

// WriteFleet writes a configuration in the form that ReadFleet reads, in the
// order of the names.
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

// writer builds a file and keeps the first problem.
type writer struct {
	ini *ini.File
	err error
}

// pair is one key with its value.
type pair struct{ key, value string }

func newWriter() *writer {
	return &writer{ini: ini.Empty(options)}
}

func (f *writer) write(w io.Writer) (err error) {
	defer writeErrors.WrapP(&err)
	if f.err != nil {
		return f.err
	}
	_, err = f.ini.WriteTo(w)
	return err
}

func (f *writer) section(name string, pairs ...pair) {
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
	pairs := []pair{{"zone", string(v.Zone)}, {"peer", v.PeerAddr.String()}, {"disk", yesNo(v.HasDisk)}}
	f.section("vm "+string(v.ID), append(pairs, drained(v.State)...)...)
}

func (f *writer) upstream(u model.Upstream) {
	pairs := []pair{
		{"zone", string(u.Zone)},
		{"addr", u.Addr.String()},
		{"index", u.Index},
		{"slots", strconv.Itoa(u.Slots)},
		{"conns", strconv.Itoa(u.MaxConns)},
		{"dial", u.DialCost.String()},
	}
	f.section("upstream "+string(u.ID), append(pairs, drained(u.State)...)...)
}

func (f *writer) contract(c model.Contract) {
	pairs := []pair{
		{"credential", hex.EncodeToString(c.Credential[:])},
		{"indexes", strings.Join(c.Indexes, ", ")},
		{"concurrency", strconv.Itoa(c.Concurrency)},
		{"capacity", number(c.Capacity)},
		{"extra", number(c.RetryBudget)},
		{"retention", c.Retention.String()},
	}
	if c.Retired {
		pairs = append(pairs, pair{"retired", yesNo(true)})
	}
	f.section("contract "+c.Customer, pairs...)
	for _, class := range c.Classes {
		f.section("class "+c.Customer+" "+class.Name,
			pair{"wait", class.Wait.String()},
			pair{"price", strconv.FormatInt(class.Price, 10)},
			pair{"weight", number(class.Weight)},
			pair{"coverage", number(class.MinCoverage)},
		)
	}
}

// drained gives the state only when it is not the usual one.
func drained(s model.AdminState) []pair {
	if s == model.StateActive {
		return nil
	}
	return []pair{{"state", s.String()}}
}

func yesNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}

func number(v float64) string {
	return strconv.FormatFloat(v, 'g', -1, 64)
}
