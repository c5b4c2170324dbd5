package simproto

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"oxbowbridge/admission"
)

// createSettings is the value of the settings field of a CREATE message.
const createSettings = `{"tick_ns":4000000,"servers":10,"counted_by":"work","new_key":{"x":1},` +
	`"bounds":{"max_retry_after_ns":1000000000,"retry_after":true},` +
	`"classes":[{"name":"a","aim_ns":1000000000,"deadline_ns":2000000000,"effect":"deduplicated","value":2,"window_ns":5}],` +
	`"family_info":{"cores":6,"below":"tier","halt":"pause","advert":"credit","memory_kb":1000,"run_factor":4,` +
	`"class_calls":[true],"class_skip_worth":[0.5]},"safety":{"fall_multiple":8},"tenants":[{"allowance_per_s":3}]}`

func batchOf(lines ...string) string {
	return "TICK\tts_ns=1000\n" + strings.Join(lines, "\n") + "\nEOF_BATCH\n"
}

func TestReadEvents(t *testing.T) {
	tests := []struct {
		line string
		want admission.Event
	}{
		{"ACCEPT\top_id=7\tcategory=1\trealm=2\tresource=k:x\ttime_left_ns=240\testimate_ns=12\theld_kb=24.5" +
			"\tplace=0.625\tsrc=17\twaited_ns=18\tdup_of=9\trepeat=1\tlater=field",
			admission.Arrival{ID: 7, Class: 1, Tenant: 2, Timeout: 240, ExpectedWork: 12, Age: 18, MemoryKB: 24.5,
				HasLookupKey: true, Retry: true, Rank: 0.625, DuplicateOf: 9}},
		{"COMPLETED\top_id=7\ttook_ns=5\toutcome=TOO_LATE", admission.Completed{ID: 7, Elapsed: 5, Outcome: admission.OutcomeNotStarted}},
		{"LAPSED\top_id=4294967295", admission.Canceled{ID: 4294967295}},
		{"AWAITING\top_id=7", admission.CallNeeded{ID: 7}},
		{"DEP_REPLY\top_id=7\toutcome=UNAVAILABLE\ttook_ns=3", admission.CallCompleted{ID: 7, Elapsed: 3, Outcome: admission.OutcomeUnavailable}},
		{"SIGTERM\ttime_left_ns=9", admission.Drain{StopIn: 9}},
		{"DUE\tref=77\tusage=core_use:0.62,on_cores:3,other:1,links:120",
			admission.TimerFired{TimerID: 77, Gauges: admission.Gauges{CPUUtilization: 0.62, RunQueue: 3, MemoryUtilization: -1, Connections: 120}}},
		{"LATER_EVENT\tx=1", nil},
	}
	for _, tt := range tests {
		b, err := NewReader(strings.NewReader(batchOf("ABOUT\ti=server/3", tt.line))).Read()
		if err != nil {
			t.Errorf("%s: %v", tt.line, err)
			continue
		}
		if tt.want == nil {
			if len(b.Messages) != 0 {
				t.Errorf("%s: %v, want an unknown message to be ignored", tt.line, b.Messages)
			}
			continue
		}
		if b.Now != 1000 || len(b.Messages) != 1 || b.Messages[0].Instance != "server/3" ||
			!reflect.DeepEqual(b.Messages[0].Event, tt.want) {
			t.Errorf("%s: %+v, want %+v", tt.line, b.Messages, tt.want)
		}
	}
}

func TestReadCreate(t *testing.T) {
	b, err := NewReader(strings.NewReader(batchOf("ABOUT\ti=s/1", "CREATE\tinit_seed=5\tsettings="+createSettings))).Read()
	if err != nil {
		t.Fatal(err)
	}
	c := b.Messages[0].Create
	want := admission.Settings{
		MinInterval: 4 * time.Millisecond, Servers: 10, Cores: 6, WeightPerWork: true,
		Dependency: admission.DependencyNextTier, Preemption: admission.PreemptionPause, AdvertKind: admission.AdvertCredit,
		MemoryKB: 1000, RunMemoryFactor: 4, MaxRunsPerCore: 8, MaxRetryAfter: time.Second,
		Tenants: []admission.Tenant{{QuotaPerSecond: 3}},
		Classes: []admission.Class{{LatencyObjective: time.Second, Deadline: 2 * time.Second, ExecutionSemantics: admission.Deduplicated,
			PriorityWeight: 2, DedupWindow: 5, MakesCalls: true, DegradedFraction: 0.5}},
	}
	if c.Seed != 5 || !reflect.DeepEqual(c.Settings, want) {
		t.Errorf("got %+v\nwant %+v", c.Settings, want)
	}
}

func TestMalformedInput(t *testing.T) {
	about := "ABOUT\ti=s/1"
	tests := []struct{ in, line, field string }{
		{batchOf(about, "ACCEPT\tcategory=0"), "line 3", "op_id"},
		{batchOf(about, "ACCEPT\top_id=x"), "line 3", "op_id"},
		{batchOf(about, "ACCEPT\top_id=4294967296"), "line 3", "op_id"},
		{batchOf(about, "ACCEPT\top_id=1\twaited_ns=-5"), "line 3", "waited_ns"},
		{batchOf(about, "ACCEPT\top_id=1\theld_kb=NaN"), "line 3", "held_kb"},
		{batchOf(about, "ACCEPT\top_id=1\trepeat=yes"), "line 3", "repeat"},
		{batchOf(about, "ACCEPT\top_id"), "line 3", "op_id"},
		{batchOf(about, "COMPLETED\top_id=1"), "line 3", "outcome"},
		{batchOf(about, "COMPLETED\top_id=1\toutcome=WELL"), "line 3", "outcome"},
		{batchOf(about, "DUE\tref=1\tusage=core_use:x"), "line 3", "usage"},
		{batchOf(about, "CREATE\tinit_seed=1"), "line 3", "settings"},
		{batchOf(about, "CREATE\tsettings={"), "line 3", "settings"},
		{batchOf(about, `CREATE	settings={"servers":"ten"}`), "line 3", "servers"},
		{batchOf(about, strings.Replace("CREATE\tsettings="+createSettings, `"pause"`, `"stop"`, 1)), "line 3", "halt"},
		{batchOf("LAPSED\top_id=1"), "line 2", "field i"},
		{batchOf("ABOUT"), "line 2", "field i"},
		{"TICK\n", "line 1", "ts_ns"},
		{"LAPSED\top_id=1\n", "line 1", "TICK"},
		{"TICK\tts_ns=1\n", "line 1", "ends inside"},
	}
	for _, tt := range tests {
		_, err := NewReader(strings.NewReader(tt.in)).Read()
		if err == nil || !strings.Contains(err.Error(), tt.line) || !strings.Contains(err.Error(), tt.field) {
			t.Errorf("%q: error %v, want %s and %s", tt.in, err, tt.line, tt.field)
		}
	}
}

// FuzzRead checks that Read returns for any input, that each message has an instance, and that the
// input ends after a bounded number of batches.
func FuzzRead(f *testing.F) {
	f.Add(batchOf())
	f.Add(batchOf("ABOUT\ti=s/1", "CREATE\tsettings="+createSettings, "ACCEPT\top_id=7\theld_kb=1", "DETACH"))
	f.Add(batchOf("ABOUT\ti=s/1", "DUE\tref=1\tusage=core_use:0.5,,:"))
	f.Add("TICK\tts_ns=99999999999999999999\n")
	f.Add("\n\t\n=\n")
	f.Fuzz(func(t *testing.T, in string) {
		r := NewReader(strings.NewReader(in))
		for i := 0; i < len(in)+2; i++ {
			b, err := r.Read()
			if errors.Is(err, io.EOF) || err != nil {
				return
			}
			for _, message := range b.Messages {
				if message.Instance == "" {
					t.Fatal("message without an instance")
				}
			}
		}
		t.Fatal("read more batches than the input has bytes")
	})
}
