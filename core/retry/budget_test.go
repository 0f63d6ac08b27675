package retry

import "testing"

// Guards against hedges that use up the budget. Under overload, the next attempt
// that an upstream sheds could then not be retried, and its query would fail
// although the other shards were answered.
func TestHedgesLeaveTheBudgetForRetries(t *testing.T) {
	var b Budget
	b.SetRatio(0.05)
	b.Earn(1000)
	hedges := 0
	for b.SpendHedge() {
		hedges++
	}
	if hedges == 0 || b.LeftForHedges() != 0 {
		t.Fatalf("got %d hedges with %d left, want some and none left", hedges, b.LeftForHedges())
	}
	for n := range hedgeReserve {
		if !b.Spend(1) {
			t.Fatalf("got %d retries after the hedges, want %d", n, hedgeReserve)
		}
	}
}
