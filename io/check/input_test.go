package check

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"comfreypulley/io/bench"
)

// Guards against invalid requests that are accepted, that are refused without the
// proper status, reason and detail, or after which the VM answers worse.
func TestBadRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{shards: 1, replicas: 1, vms: 1, coverage: 1})
	const (
		bearer = "Bearer " + customer + "." + secret
		body   = `{"index":"` + index + `","query":{"n":1}}`
		key    = "01890a5d-ac96-774b-bcce-b302099a8057"
	)
	for _, c := range []struct {
		name, path, body string
		header           map[string]string
		status           int
		reason           string
	}{
		{"no credential", "/v1/query", body, map[string]string{"Wait": "1s"}, 400, "invalid"},
		{"other scheme", "/v1/query", body, map[string]string{"Wait": "1s", "Authorization": "Basic dTpw"}, 400, "invalid"},
		{"unknown customer", "/v1/query", body, map[string]string{"Wait": "1s", "Authorization": "Bearer nobody." + secret}, 401, "credential"},
		{"wrong secret", "/v1/query", body, map[string]string{"Wait": "1s", "Authorization": "Bearer " + customer + ".x"}, 401, "credential"},
		{"no wait", "/v1/query", body, map[string]string{"Authorization": bearer}, 400, "invalid"},
		{"wait without unit", "/v1/query", body, map[string]string{"Wait": "80", "Authorization": bearer}, 400, "invalid"},
		{"negative wait", "/v1/query", body, map[string]string{"Wait": "-1s", "Authorization": bearer}, 400, "invalid"},
		{"wait below all classes", "/v1/query", body, map[string]string{"Wait": "1ms", "Authorization": bearer}, 400, "wait"},
		{"empty body", "/v1/query", "", map[string]string{"Wait": "1s", "Authorization": bearer}, 400, "invalid"},
		{"broken JSON", "/v1/query", `{"index":`, map[string]string{"Wait": "1s", "Authorization": bearer}, 400, "invalid"},
		{"JSON of another type", "/v1/query", `[1]`, map[string]string{"Wait": "1s", "Authorization": bearer}, 400, "invalid"},
		{"negative limit", "/v1/query", `{"index":"pairing","query":1,"limit":-1}`, map[string]string{"Wait": "1s", "Authorization": bearer}, 400, "invalid"},
		{"index with a slash", "/v1/query", `{"index":"a/b","query":1}`, map[string]string{"Wait": "1s", "Authorization": bearer}, 400, "invalid"},
		{"index outside the contract", "/v1/query", `{"index":"portal","query":1}`, map[string]string{"Wait": "1s", "Authorization": bearer}, 403, "index"},
		{"huge body", "/v1/query", `{"index":"pairing","query":"` + strings.Repeat("x", 2<<20) + `"}`, map[string]string{"Wait": "1s", "Authorization": bearer}, 400, "invalid"},
		{"key on a query", "/v1/query", body, map[string]string{"Wait": "1s", "Authorization": bearer, "Idempotency-Key": key}, 400, "invalid"},
		{"run without key", "/v1/run", body, map[string]string{"Wait": "1s", "Authorization": bearer}, 400, "invalid"},
		{"key that is no UUID", "/v1/run", body, map[string]string{"Wait": "1s", "Authorization": bearer, "Idempotency-Key": "1"}, 400, "invalid"},
		{"key of version 4", "/v1/run", body, map[string]string{"Wait": "1s", "Authorization": bearer, "Idempotency-Key": "9b2f8d9e-3c1a-4f60-8a43-0f6d8f1f6a11"}, 400, "invalid"},
	} {
		status, raw, err := f.request(http.MethodPost, f.vms[0].callerAddr, c.path, c.body, c.header)
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		var answer bench.Answer
		if err := json.Unmarshal(raw, &answer); err != nil {
			t.Errorf("%s: status %d with body %q, want a JSON refusal", c.name, status, raw)
			continue
		}
		if status != c.status || answer.Reason != c.reason || answer.Detail == "" || answer.Ran != "no" {
			t.Errorf("%s: got %d, reason %q, detail %q, ran %q; want %d, %q, a detail and no",
				c.name, status, answer.Reason, answer.Detail, answer.Ran, c.status, c.reason)
		}
	}
	for path, want := range map[string]int{"/v1/query": http.StatusMethodNotAllowed, "/v2/query": http.StatusNotFound} {
		if status, _, err := f.get(f.vms[0].callerAddr, path); err != nil || status != want {
			t.Errorf("GET %s: got %d and %v, want %d", path, status, err, want)
		}
	}
	if n := len(f.runLog(f.upstreams[0]).Runs); n != 0 {
		t.Errorf("invalid requests ran %d times, want never", n)
	}
	results := f.runLoad(&bench.OpenLoop{Rate: 100, Period: 200 * time.Millisecond, Seed: 1, Callers: []bench.Caller{{Wait: longWait}}})
	if report := f.checkResults(results); report.Complete != report.Queries {
		t.Errorf("%d of %d answers complete after the invalid requests, want all", report.Complete, report.Queries)
	}
}

// goodFleet is a valid fleet file.
const goodFleet = `[contract a]
credential = 2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae
indexes = pairing
concurrency = 10
capacity = 1
extra = 0.1
retention = 1h

[class a now]
wait = 80ms
price = 2
coverage = 0.5

[vm vm1]
zone = a
peer = 127.0.0.1:7400

[upstream u1]
zone = a
addr = 127.0.0.1:9000
index = pairing
slots = 3
conns = 65
`

// Guards against invalid files that are accepted, or whose error message names
// neither the place nor the problem.
func TestBadFiles(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	const settings = "[vm]\nid = vm1\nzone = a\n[caller]\nlisten = 127.0.0.1:8080\n[peer]\nlisten = 127.0.0.1:7400\n[admin]\nlisten = 127.0.0.1:7401\n[fleet]\nfile = FLEET\n"
	fleet := filepath.Join(dir, "fleet.ini")
	for _, c := range []struct {
		name, old, new string   // old is replaced by new in a valid file
		words          []string // of the error message; nil when there is none
	}{
		{"good", "", "", nil},
		{"unknown section", "[vm vm1]", "[machine vm1]", []string{"machine", "known section"}},
		{"section without a name", "[vm vm1]", "[vm]", []string{"name"}},
		{"unknown key", "slots = 3", "slot = 3", []string{"slot", "known key"}},
		{"missing key", "slots = 3\n", "", []string{"slots", "missing"}},
		{"zero slots", "slots = 3", "slots = 0", []string{"slots", "between"}},
		{"address without port", "127.0.0.1:9000", "127.0.0.1", []string{"addr"}},
		{"host name", "127.0.0.1:9000", "localhost:9000", []string{"addr"}},
		{"equal addresses", "127.0.0.1:9000", "127.0.0.1:7400", []string{"addr"}},
		{"wait without unit", "80ms", "80", []string{"wait", "duration"}},
		{"coverage above 1", "coverage = 0.5", "coverage = 1.5", []string{"coverage", "fraction"}},
		{"coverage not a number", "coverage = 0.5", "coverage = NaN", []string{"coverage", "fraction"}},
		{"short credential", "2c26b46b", "", []string{"credential", "SHA-256"}},
		{"class of an unknown customer", "[class a now]", "[class b now]", []string{"class"}},
		{"repeated key", "zone = a\naddr", "zone = a\nzone = a\naddr", []string{"zone", "twice"}},
		{"section without brackets", "[vm vm1]", "vm vm1", []string{"fleet.ini"}},
	} {
		text := strings.Replace(goodFleet, c.old, c.new, 1)
		if err := os.WriteFile(fleet, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		p := startProcess(t, c.name, "check", "--fleet", fleet)
		want := 0
		if c.words != nil {
			want = 1
		}
		expectError(t, p, want, c.words)
	}
	if err := os.WriteFile(fleet, []byte(goodFleet), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, old, new string
		words          []string
	}{
		{"two listeners with one address", "127.0.0.1:7401", "127.0.0.1:8080", []string{"admin", "same address"}},
		{"missing id", "id = vm1\n", "", []string{"id", "missing"}},
		{"bad listener", "127.0.0.1:8080", "127.0.0.1:80800", []string{"caller", "listen"}},
		{"missing fleet file", "FLEET", "FLEET.missing", []string{"fleet.ini.missing"}},
		{"incomplete TLS settings", "[fleet]", "[tls]\ncert = a\n[fleet]", []string{"tls"}},
	} {
		name := filepath.Join(dir, "vm1.ini")
		text := strings.ReplaceAll(strings.Replace(settings, c.old, c.new, 1), "FLEET", fleet)
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		for _, args := range [][]string{{"check", "--settings", name}, {"serve", name}} {
			expectError(t, startProcess(t, c.name, args...), 1, c.words)
		}
	}
}

// Guards against an invalid command line that starts a process, or whose error
// message does not name the problem.
func TestBadCommandLines(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		args   string
		status int
		words  []string
	}{
		{"--nothing", 2, []string{"nothing"}},
		{"serve", 2, []string{"settings"}},
		{"serve /nonexistent.ini", 2, []string{"nonexistent"}},
		{"upstream", 2, []string{"hold"}},
		{"upstream --hold pairing", 1, []string{"pairing/1/10/0,3"}},
		{"upstream --hold pairing/1/2/5", 1, []string{"pairing", "outside"}},
		{"upstream --hold pairing/1/1/0 --listen here", 1, []string{"listen"}},
		{"upstream --hold pairing/1/1/0 --rare 2", 1, []string{"rare"}},
		{"upstream --hold pairing/1/1/0 --lie 1,2", 1, []string{"lie"}},
		{"fault --target nowhere", 1, []string{"target"}},
		{"fault --target 127.0.0.1:1 --pieces=-1", 1, []string{"pieces"}},
		{"load --target here --index pairing", 1, []string{"target"}},
		{"demo --like other", 2, []string{"like"}},
		{"demo --profile other", 2, []string{"profile"}},
		{"demo --vms 99", 1, []string{"vms"}},
	} {
		expectError(t, startProcess(t, c.args, strings.Fields(c.args)...), c.status, c.words)
	}
}

// expectError waits for the end of a process, and checks its exit status and that
// its error message contains the words.
func expectError(t *testing.T, p *process, status int, words []string) {
	t.Helper()
	if got := p.waitExit(); got != status {
		t.Errorf("%s: exit status %d, want %d: %q", p.name, got, status, p.otherLines)
	}
	text := strings.Join(p.otherLines, "\n")
	for _, word := range words {
		if !strings.Contains(text, word) {
			t.Errorf("%s: error %q does not contain %q", p.name, text, word)
		}
	}
}
