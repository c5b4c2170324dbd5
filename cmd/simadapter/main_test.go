package main

import (
	"bytes"
	"strings"
	"testing"
)

const createLine = `CREATE	init_seed=5	settings={"tick_ns":4000000,"servers":10,"classes":[{"aim_ns":1000000000,` +
	`"deadline_ns":2000000000,"effect":"idempotent","value":2}],"family_info":{"cores":1,"memory_kb":1000,` +
	`"run_factor":4},"safety":{"fall_multiple":8}}`

func batchOf(lines ...string) string {
	return "TICK\tts_ns=1000\n" + strings.Join(lines, "\n") + "\nEOF_BATCH\n"
}

func TestRepliesPerBatch(t *testing.T) {
	in := "TICK\tts_ns=1\nEOF_BATCH\n" +
		batchOf("ABOUT\ti=server/1", createLine, "ABOUT\ti=server/2", createLine) +
		batchOf("ABOUT\ti=server/2", "ACCEPT\top_id=1\theld_kb=1", "ABOUT\ti=server/1", "ACCEPT\top_id=9\theld_kb=1") +
		batchOf("ABOUT\ti=server/1", "DETACH", createLine) +
		batchOf("ABOUT\ti=server/1", "COMPLETED\top_id=9\toutcome=OK") +
		batchOf("ABOUT\ti=server/2", "DETACH")
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	replies := strings.SplitAfter(out.String(), "ACK\n")
	if len(replies) != 7 || replies[6] != "" {
		t.Fatalf("%d replies, want 6: %q", len(replies)-1, replies)
	}
	if replies[0] != "ACK\n" {
		t.Errorf("reply to an empty batch: %q", replies[0])
	}
	if n := strings.Count(replies[1], "SPEAKING"); n != 2 {
		t.Errorf("%d instances replied after their start, want 2", n)
	}
	if want := "SPEAKING\ti=server/2\nTAKE\top_id=1\n"; !strings.HasPrefix(replies[2], want) {
		t.Errorf("reply %q, want it to begin with %q", replies[2], want)
	}
	if !strings.Contains(replies[2], "SPEAKING\ti=server/1\nTAKE\top_id=9\n") {
		t.Errorf("reply %q lacks the action of the second instance", replies[2])
	}
	if !strings.Contains(replies[3], "STATUS") {
		t.Errorf("reply to DETACH and CREATE in one batch: %q", replies[3])
	}
	if strings.Contains(replies[4], "TAKE") || replies[5] != "ACK\n" {
		t.Errorf("replies after a restart and a DETACH: %q, %q", replies[4], replies[5])
	}
}

func TestMalformedInputIsNamed(t *testing.T) {
	for in, want := range map[string]string{
		batchOf("ABOUT\ti=server/1", "LAPSED\top_id=1"):                                                    `line 3: field i: unknown instance "server/1"`,
		batchOf("ABOUT\ti=server/1", createLine, "ACCEPT\top_id=1\tcategory=4"):                            "line 4: ACCEPT: field category",
		batchOf("ABOUT\ti=server/1", createLine, "ACCEPT\top_id=1\trealm=1"):                               "line 4: ACCEPT: field realm",
		batchOf("ABOUT\ti=server/1", strings.Replace(createLine, `"cores":1`, `"cores":0`, 1)):             "line 3: CREATE: field settings: Cores: 0",
		batchOf("ABOUT\ti=server/1", strings.Replace(createLine, `"aim_ns":1000000000`, `"aim_ns":-1`, 1)): "line 3: CREATE: field settings: setting Classes[0]: LatencyObjective",
	} {
		var out bytes.Buffer
		err := run(strings.NewReader(in), &out)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %s", err, want)
		}
	}
}

func TestPanicOfInstanceIsReported(t *testing.T) {
	out := recoverPanic("server/1", nil, func() []byte { panic("boom\nhere") })
	if want := "SPEAKING\ti=server/1\nPANIC\treason_text=boom here\n"; string(out) != want {
		t.Errorf("%q, want %q", out, want)
	}
}
