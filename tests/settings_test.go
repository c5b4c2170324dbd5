package tests

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSettingsOfOthers: the service starts with, and serves requests under, each valid value of the settings.
func TestSettingsOfOthers(t *testing.T) {
	t.Parallel()
	for what, change := range map[string]func(set, info object){
		"level":          func(_, info object) { info["advert"] = "level" },
		"credit":         func(_, info object) { info["advert"] = "credit" },
		"weight":         func(_, info object) { info["advert"] = "weight" },
		"no halt":        func(_, info object) { info["halt"] = "none" },
		"pause":          func(_, info object) { info["halt"] = "pause" },
		"shared":         func(_, info object) { info["below"], info["calls_out"], info["dep_window_ns"] = "shared", 3.5, 5e9 },
		"nothing below":  func(_, info object) { info["below"] = "none" },
		"shared reads":   func(_, info object) { info["share_for_ns"] = 1e9 },
		"calls left out": func(_, info object) { info["class_skip_worth"] = []float64{0.5, 0, 0.5, 0} },
		"tells, passes": func(_, info object) {
			info["tells_gone"], info["passes_deadline"], info["readiness"] = true, true, true
		},
		"deep checks":     func(_, info object) { info["deep_checks"] = true },
		"other gauges":    func(_, info object) { info["own_stats"] = []string{"queue", "eps", "core_use"} },
		"by request":      func(set, _ object) { set["counted_by"] = "request" },
		"no callers yet":  func(_, info object) { info["callers"] = 0 },
		"none listed":     func(set, _ object) { set["servers"] = 0 },
		"a late aim":      func(set, _ object) { set["classes"].([]object)[3]["aim_ns"] = 60e9 },
		"no advice":       func(set, _ object) { set["bounds"] = object{"retry_after": false} },
		"a new key":       func(set, info object) { set["moon"], info["phase"] = object{"full": true}, "waning" },
		"tenants":         func(set, _ object) { set["tenants"] = []object{{"name": "a", "share": 1, "allowance_per_s": 10}} },
		"all keyed":       func(set, _ object) { set["classes"].([]object)[2]["effect"] = "deduplicated" },
		"deeper tier":     func(set, _ object) { set["tier"] = 1 },
		"no window, none": func(set, _ object) { set["classes"].([]object)[3]["window_ns"] = 0 },
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t, func(cfg object) {
				set := cfg["settings"].(object)
				change(set, set["family_info"].(object))
			})
			for _, class := range classNames {
				fields := requestHeaders(newTraceID())
				fields["Replay-Key"], fields["Project"], fields["Max-Wait-Ms"] = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", "a", "9000"
				a, err := w.sendFCGI("/call/"+class, fields, "call")
				require.NoError(t, err)
				assert.Equal(t, 200, a.status, class)
			}
			if what == "level" || what == "weight" || what == "credit" {
				await(t, "a Feedback header", func() bool {
					a, err := w.sendFCGI("/ping", nil, "")
					return err == nil && a.headers["Feedback"] != ""
				})
				a, err := w.sendRequest("nom-submit", "ok")
				require.NoError(t, err)
				assert.NotEmpty(t, a.headers["Feedback"])
			} else {
				a, err := w.sendRequest("nom-submit", "ok")
				require.NoError(t, err)
				assert.NotContains(t, a.headers, "Feedback", "no Feedback header")
			}
		})
	}
}

// TestMaxWait: if the settings say that requests carry their maximum wait, a request is answered by then, in
// both protocols. Otherwise only the deadline of its class counts.
func TestMaxWait(t *testing.T) {
	t.Parallel()
	for name, dial := range protocolDialers {
		for _, passesDeadline := range []bool{true, false} {
			t.Run(fmt.Sprint(name, passesDeadline), func(t *testing.T) {
				t.Parallel()
				w := newTestbed(t, func(cfg object) {
					set := cfg["settings"].(object)
					set["family_info"].(object)["passes_deadline"] = passesDeadline
					for _, k := range set["classes"].([]object) {
						k["deadline_ns"] = int64(10 * time.Minute)
					}
				})
				send := func(wait, body string) <-chan response {
					c, err := dial(w.service, 0)
					require.NoError(t, err)
					t.Cleanup(func() { c.Close() })
					fields := requestHeaders(newTraceID())
					fields["Max-Wait-Ms"] = wait
					got := make(chan response, 1)
					go func() {
						a, _ := c.do("/call/nom-submit", fields, []byte(body))
						got <- a
					}()
					return got
				}
				answered := func(got <-chan response) int {
					select {
					case a := <-got:
						return a.status
					case <-time.After(awaitTimeout):
						return 0
					}
				}
				for _, bad := range []string{"-5", "soon", "1e3"} {
					assert.Equal(t, 400, answered(send(bad, "ok")), bad)
				}
				assert.Equal(t, 200, answered(send("0", "ok")), "0 is treated as no limit")
				if passesDeadline {
					assert.Equal(t, 500, answered(send("2000", "hold")), "its run continues or was stopped, so the request fails")
					assert.Equal(t, 503, answered(send("1", "hold")), "the wait was over before the request was read")
					return
				}
				got := send("1", "hold")
				await(t, "the run to start", func() bool { return w.engine.heldRuns() == 1 })
				w.engine.releaseHeld()
				assert.Equal(t, 200, answered(got))
			})
		}
	}
}

// TestSettingsRefused: invalid settings end the start with exit code 2 and one line.
func TestSettingsRefused(t *testing.T) {
	t.Parallel()
	for want, change := range map[string]func(set, info object){
		"settings: classes.1.name":         func(set, _ object) { set["classes"].([]object)[1]["name"] = "balance-view" },
		"settings: classes.2.name":         func(set, _ object) { set["classes"].([]object)[2]["name"] = "nom update" },
		"settings: classes.3.name":         func(set, _ object) { delete(set["classes"].([]object)[3], "name") },
		"settings: classes.effect":         func(set, _ object) { set["classes"].([]object)[3]["effect"] = "never" },
		"settings: classes.3.deadline_ns":  func(set, _ object) { set["classes"].([]object)[3]["deadline_ns"] = 0 },
		"settings: family_info.cores":      func(_, info object) { info["cores"] = 0 },
		"settings: servers":                func(set, _ object) { set["servers"] = -1 },
		"settings: family_info.run_factor": func(_, info object) { info["run_factor"] = 0 },
		"settings: family_info.advert":     func(_, info object) { info["advert"] = "loud" },
		"settings: family_info.below":      func(_, info object) { info["below"] = "above" },
		"settings: classes.0.window_ns":    func(set, _ object) { set["classes"].([]object)[0]["window_ns"] = -1 },
		"settings: family_info.linger_ns":  func(_, info object) { info["linger_ns"] = -1 },
		"settings: safety.cold_share":      func(set, _ object) { set["safety"].(object)["cold_share"] = 1.5 },
		"settings: safety.fall_multiple":   func(set, _ object) { delete(set["safety"].(object), "fall_multiple") },
		"settings.family_info.memory_kb":   func(_, info object) { info["memory_kb"] = "much" },
	} {
		requireStartRefused(t, want, func(cfg object) {
			set := cfg["settings"].(object)
			change(set, set["family_info"].(object))
		})
	}
}

// TestSharedCallsLinger: if all services share the records service, a lost call may still run there and
// occupies capacity. It is repeated only after the linger time, when it can no longer run.
func TestSharedCallsLinger(t *testing.T) {
	t.Parallel()
	for below, minDelay := range map[string]time.Duration{"shared": 400 * time.Millisecond, "tier": 0} {
		w := newTestbed(t, func(cfg object) {
			info := cfg["settings"].(object)["family_info"].(object)
			info["below"], info["calls_out"], info["dep_window_ns"], info["linger_ns"] = below, 5, 5e9, 400e6
		})
		w.records.setNextReply("break")
		trace := newTraceID()
		startedAt := time.Now()
		got := w.sendAsync("balance-view", trace, "call")
		assert.Equal(t, 200, (<-got).status, below)
		assert.Equal(t, 2, w.records.countReceived("OP "+trace), below)
		assert.GreaterOrEqual(t, time.Since(startedAt), minDelay, below)
	}
}

// TestPause: a run that yields its core is paused and resumes, also after a lost link, and neither runs again
// nor is stopped for good. With halt "none" no run is stopped.
func TestPause(t *testing.T) {
	t.Parallel()
	for halt, wantHalts := range map[string]int{"pause": 1, "none": 0} {
		t.Run(halt, func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t, func(cfg object) {
				set := cfg["settings"].(object)
				set["counted_by"] = "request"
				set["family_info"].(object)["halt"], set["family_info"].(object)["cores"] = halt, 1
				set["classes"].([]object)[0]["aim_ns"] = 60e6 // allows six runs of the initially assumed mean duration
			})
			var long string
			var got <-chan response
			await(t, "a run to start", func() bool {
				long = newTraceID()
				got = w.sendAsync("balance-view", long, "hold")
				await(t, "a run or a rejection", func() bool { return w.engine.heldRuns() == 1 || len(got) == 1 })
				return w.engine.heldRuns() == 1
			})
			if wantHalts == 0 {
				lost, _ := dialFCGI(w.fcgiAddr) // the caller of this run disconnects, and the run is not stopped
				cancelled := newTraceID()
				lost.Write(fcgiRequest(1, "/call/nom-submit", requestHeaders(cancelled), []byte("hold")))
				lost.Close()
				w.responseStatus("nom-update", "ok")
				w.engine.releaseHeld()
				assert.Equal(t, 200, (<-got).status)
				assert.Zero(t, w.engine.countReceived("HALT"))
				return
			}
			await(t, "the run to be paused", func() bool {
				a, err := w.sendRequest("nom-update", "ok")
				return err == nil && a.status == 200 && w.engine.countReceived("HALT "+long) > 0
			})
			await(t, "the run to resume", func() bool { return w.engine.countReceived("RESUME "+long) > 0 })
			w.engine.mu.Lock()
			w.engine.conn.Close()
			w.engine.mu.Unlock()
			await(t, "the engine link to reconnect", func() bool { return w.engine.countReceived("ATTACH") == 2 })
			await(t, "RESUME on the new link", func() bool { return w.engine.countReceived("RESUME "+long) == 2 })
			w.engine.releaseHeld()
			assert.Equal(t, "result of "+long, (<-got).body)
			assert.Equal(t, 1, w.engine.countReceived("RUN "+long))
		})
	}
}
