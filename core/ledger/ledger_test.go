package ledger_test

import (
	"flag"
	"os"
	"reflect"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreypulley/core/entry"
	"comfreypulley/core/ledger"
	"comfreypulley/core/model"
)

// TestMain fixes the seed, so that every run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func key(at time.Time, n byte) model.Key {
	return model.NewKey(at, [10]byte{n})
}

func holder(n int) entry.ClaimHolder {
	return entry.ClaimHolder{VM: "vm0", ProcessStart: startTime, Request: model.RequestID(n)}
}

func claim(k model.Key, fingerprint model.Fingerprint, n int) entry.Claim {
	return entry.Claim{Customer: "acme", Key: k, Fingerprint: fingerprint, Holder: holder(n), Retention: time.Hour}
}

// Guards against a key that runs twice, and against wrong statuses of claims,
// settlements and releases.
func TestCommandStatuses(t *testing.T) {
	k := key(startTime, 1)
	longRetention := claim(k, 7, 9)
	longRetention.Retention = 24 * time.Hour
	steps := []struct {
		name  string
		after time.Duration
		c     entry.Command
		want  entry.Status
	}{
		{"first claim", 0, claim(k, 7, 1), entry.StatusOK},
		{"same holder", 0, claim(k, 7, 1), entry.StatusOK},
		{"other holder", 0, claim(k, 7, 2), entry.StatusPending},
		{"other body", 0, claim(k, 8, 2), entry.StatusConflict},
		{"settle by another", 0, entry.Settle{Customer: "acme", Key: k, Holder: holder(2)}, entry.StatusConflict},
		{"release", 0, entry.Release{Customer: "acme", Key: k, Holder: holder(1)}, entry.StatusOK},
		{"copy of the released claim", 0, claim(k, 7, 1), entry.StatusPending},
		{"claim after release", 0, claim(k, 7, 2), entry.StatusOK},
		{"settle", 0, entry.Settle{Customer: "acme", Key: k, Holder: holder(2)}, entry.StatusOK},
		{"settled", time.Hour, claim(k, 7, 3), entry.StatusSettled},
		{"other body of a settled one", 0, claim(k, 8, 3), entry.StatusConflict},
		{"release of a settled one", 0, entry.Release{Customer: "acme", Key: k, Holder: holder(2)}, entry.StatusSettled},
		{"past the retention", time.Millisecond, claim(k, 7, 3), entry.StatusExpired},
		{"retention raised", 0, longRetention, entry.StatusExpired},
		{"late release", 0, entry.Release{Customer: "acme", Key: k, Holder: holder(3)}, entry.StatusExpired},
		{"retention raised after a late release", 0, longRetention, entry.StatusExpired},
		{"from the future", 0, claim(key(startTime.Add(time.Hour+2*time.Minute), 1), 7, 4), entry.StatusInvalid},
		{"release before its claim", 0, entry.Release{Customer: "acme", Key: key(startTime.Add(time.Hour), 2), Holder: holder(5)}, entry.StatusOK},
		{"claim after its release", 0, claim(key(startTime.Add(time.Hour), 2), 7, 5), entry.StatusPending},
		{"other holder after that", 0, claim(key(startTime.Add(time.Hour), 2), 7, 6), entry.StatusOK},
	}
	var l ledger.Ledger
	now := startTime
	for _, s := range steps {
		now = now.Add(s.after)
		if got := l.Apply(now, s.c).Status; got != s.want {
			t.Errorf("%s: got %v, want %v", s.name, got, s.want)
		}
	}
}

// Guards against unbounded memory: records are removed after their retention,
// and a watermark when the keys below it are older than the longest retention.
func TestMemoryIsBoundedByRetention(t *testing.T) {
	var l ledger.Ledger
	now := startTime
	for n := range 10_000 {
		now = now.Add(time.Second)
		l.Apply(now, claim(key(now, byte(n)), 1, n))
	}
	if got, most := len(l.Image()), 3602; got > most {
		t.Errorf("got %d records, want at most %d", got, most)
	}
	now = now.Add(model.MaxRetention + time.Hour)
	for range 10_000 / 16 {
		l.Apply(now, entry.Release{})
	}
	if got, want := len(l.Image()), 0; got != want {
		t.Errorf("got %d records after the longest retention, want %d", got, want)
	}
}

// Guards against a key that runs twice in any order of claims, settlements,
// releases, expiry, changed retentions, images and restores, and against
// replicas that decide differently after a restore.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l, twin ledger.Ledger
		now, highest := startTime, startTime
		ran := make(map[model.Key]int)            // number of requests that may have run
		running := make(map[model.Key]int)        // request that was granted the key and has not released it
		keyOf := make(map[int]model.Key)          // key of each request
		claimOf := make(map[int]entry.Claim)      // claim of each request
		firstStatus := make(map[int]entry.Status) // first answer of each request
		keys := rapid.SliceOfNDistinct(rapid.IntRange(0, 180), 1, 6, rapid.ID[int]).Draw(t, "keys")
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-5, 40).Draw(t, "minutes")) * time.Minute)
			if now.After(highest) {
				highest = now
			}
			k := key(startTime.Add(time.Duration(rapid.SampledFrom(keys).Draw(t, "key"))*time.Minute), 1)
			var c entry.Command
			n := step + 1
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1:
				claimed := claim(k, model.Fingerprint(rapid.IntRange(1, 2).Draw(t, "body")), n)
				claimed.Retention = time.Duration(rapid.IntRange(1, 5).Draw(t, "hours")) * time.Hour
				keyOf[n], claimOf[n] = k, claimed
				c = claimed
			case 2: // a repeated claim
				n = rapid.IntRange(1, step+1).Draw(t, "copy")
				if _, ok := claimOf[n]; !ok {
					continue
				}
				k, c = keyOf[n], claimOf[n]
			case 3: // the request that holds the key ran
				n = running[k]
				if n == 0 {
					continue
				}
				c = entry.Settle{Customer: "acme", Key: k, Holder: holder(n)}
			case 4: // the request did not run, or no longer waits for its claim
				n = rapid.IntRange(1, step+1).Draw(t, "released")
				if claimedKey, ok := keyOf[n]; !ok || firstStatus[n] == entry.StatusOK && running[claimedKey] != n {
					continue
				}
				k = keyOf[n]
				if running[k] == n {
					delete(running, k)
					ran[k]--
				}
				firstStatus[n] = entry.StatusNoMajority // a later answer to its claim does not count
				c = entry.Release{Customer: "acme", Key: k, Holder: holder(n)}
			default:
				image := l.Image()
				l = ledger.Ledger{}
				l.Restore(image, highest)
				twin.Restore(image, highest)
				continue
			}
			got, twinResult := l.Apply(now, c), twin.Apply(now, c)
			if !reflect.DeepEqual(got, twinResult) {
				t.Fatalf("after a restore got %v, want %v", got, twinResult)
			}
			if _, isClaim := c.(entry.Claim); !isClaim {
				continue
			}
			if _, decided := firstStatus[n]; decided {
				continue
			}
			firstStatus[n] = got.Status
			if got.Status != entry.StatusOK {
				continue
			}
			ran[k]++
			running[k] = n
			if ran[k] > 1 {
				t.Fatalf("key %v runs %d times", k, ran[k])
			}
		}
	})
}

// BenchmarkClaim measures a claim while one record expires per claim, for
// several numbers of records.
func BenchmarkClaim(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000, 1_000_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var l ledger.Ledger
			gap := time.Hour / time.Duration(n)
			at := func(i int) time.Time { return startTime.Add(time.Duration(i) * gap) }
			claimNth := func(i int) {
				now := at(i)
				k := model.NewKey(now, [10]byte{byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24)})
				l.Apply(now, claim(k, 1, i))
			}
			for i := range n {
				claimNth(i)
			}
			b.ResetTimer()
			for i := range b.N {
				claimNth(n + i)
			}
		})
	}
}

// Guards against holders that are mistaken for different ones, and watermarks that
// are not recognized, because a decoded time has another location.
func TestHoldersAreComparedAsMoments(t *testing.T) {
	otherLocation := time.FixedZone("elsewhere", 3600)
	holder := entry.ClaimHolder{VM: "vm0", ProcessStart: startTime, Request: 1}
	key := model.NewKey(startTime, [10]byte{1})
	var first ledger.Ledger
	first.Apply(startTime, entry.Claim{Customer: "acme", Key: key, Fingerprint: 1, Holder: holder, Retention: time.Minute})
	image := first.Image()
	for i := range image {
		image[i].Holder.ProcessStart = image[i].Holder.ProcessStart.In(otherLocation)
	}
	var restored ledger.Ledger
	restored.Restore(image, startTime)
	settle := entry.Settle{Customer: "acme", Key: key, Holder: holder, Outcome: entry.Outcome{Snapshot: 1, ShardCount: 1}}
	if got, want := restored.Apply(startTime, settle).Status, entry.StatusOK; got != want {
		t.Errorf("got %v for the outcome, want %v", got, want)
	}
	if zero := (entry.ClaimHolder{ProcessStart: time.Time{}.In(otherLocation)}); !zero.IsZero() {
		t.Error("got a holder for the zero moment of another location, want none")
	}
}
