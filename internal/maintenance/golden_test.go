package maintenance

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/testrig/golden"
)

// TestGoldenTypes: stored orders, heartbeats, limits, answers and printed plans keep their JSON.
func TestGoldenTypes(t *testing.T) {
	golden.JSON(t, "testdata/types.golden",
		golden.Sample{Name: "job", Value: &Job{}},
		golden.Sample{Name: "machine", Value: &Machine{}},
		golden.Sample{Name: "limits", Value: &Limits{}},
		golden.Sample{Name: "pause", Value: &Pause{}},
		golden.Sample{Name: "beat", Value: &Beat{}},
		golden.Sample{Name: "row", Value: &Row{}},
		golden.Sample{Name: "status", Value: &Status{}},
		golden.Sample{Name: "report", Value: &Report{}},
		golden.Sample{Name: "why", Value: &Why{}},
		golden.Sample{Name: "plan", Value: &Plan{}},
	)
}

// TestGoldenNames: phases, states, default limits and error texts.
func TestGoldenNames(t *testing.T) {
	var lines strings.Builder
	fmt.Fprintln(&lines, Asked, Granted, Draining, Out, Back, Warm, Failed, GivenUp, Late, In, Cold, Away)
	limits, err := json.Marshal(DefaultLimits())
	require.NoError(t, err)
	fmt.Fprintln(&lines, string(limits))
	valid := Job{Node: "m1", ForMS: 1000}
	for _, change := range []func(*Job){
		func(*Job) {}, func(j *Job) { j.Node = "/" }, func(j *Job) { j.ForMS = 1 }, func(j *Job) { j.Reason = strings.Repeat("x", 201) }, func(j *Job) { j.LatestMS = -1 },
	} {
		j := valid
		change(&j)
		fmt.Fprintln(&lines, j.Check())
	}
	for _, change := range []func(*Limits){
		func(*Limits) {}, func(l *Limits) { l.Most = 0 }, func(l *Limits) { l.MostZone = 0 }, func(l *Limits) { l.Share = 0 }, func(l *Limits) { l.ShareZone = 2 },
		func(l *Limits) { l.Spare = 1 }, func(l *Limits) { l.Failures = 0 }, func(l *Limits) { l.WarmMS = 0 }, func(l *Limits) { l.GiveUpMS = -1 }, func(l *Limits) { l.VoterSpare = -1 },
	} {
		l := DefaultLimits()
		change(&l)
		fmt.Fprintln(&lines, l.Check())
	}
	golden.Text(t, "testdata/names.golden", lines.String())
}

// TestGoldenDecisions: what a fleet is told, in all its reasons, word for word: GET /work
// and "work list" show it.
func TestGoldenDecisions(t *testing.T) {
	var lines strings.Builder
	for _, change := range []func(v *View){
		func(*View) {},
		func(v *View) { v.Limits.Most = 1; v.Jobs[1].Phase = Out },
		func(v *View) { v.Limits.MostZone = 1; v.Jobs[2].Phase = Failed },
		func(v *View) { v.Limits.Share = 0.09; v.Jobs[1].Phase = Draining },
		func(v *View) { v.Limits.ShareZone = 0.2; v.Jobs[2].Phase, v.Machines[3].State = Back, Cold },
		func(v *View) { v.Limits.Spare = 0.9 },
		func(v *View) { v.Limits.VoterSpare = 1; v.Machines[1].State = Away },
		func(v *View) {
			v.Machines[0].Copies, v.Machines[1].Copies, v.Jobs[1].Phase = []string{"r7"}, []string{"r7"}, Out
		},
		func(v *View) { v.Machines[0].State = Cold },
		func(v *View) { v.Machines = v.Machines[1:] },
		func(v *View) { v.Pause = Pause{Paused: true, Why: "by us"} },
		func(v *View) { v.Jobs[1].Phase, v.Jobs[2].Phase = Failed, GivenUp },
		func(v *View) {
			v.NowMS, v.Machines[3].Copies, v.Machines[1].Copies = 1_000_000, []string{"r"}, []string{"r"}
			v.Jobs[1].Phase = Out
		},
		func(v *View) {
			v.NowMS = 1_000_000
			v.Jobs[0].LatestMS, v.Jobs[1].Phase, v.Jobs[2].Phase = 1, Granted, Draining
			v.Jobs = append(v.Jobs, ask("m4", "m5", "m6", "m7")...)
			v.Jobs[3].Phase, v.Jobs[4].Phase, v.Jobs[5].Phase, v.Jobs[6].Phase = Out, Back, Back, Failed
			v.Jobs[6].Why, v.Machines[5].State = "disk", Cold
			v.Limits.GiveUpMS = 5000
		},
	} {
		v := View{Machines: fleetOf(12), Jobs: ask("m0", "m1", "m3"), Limits: DefaultLimits()}
		v.Limits.Most, v.Limits.MostZone, v.Limits.Share, v.Limits.ShareZone, v.Limits.VoterSpare = 3, 3, 1, 1, 0
		v.Jobs[0].Priority = 1
		change(&v)
		d := Decide(v)
		fmt.Fprintf(&lines, "steps %v, first %q, pause %q, waits %v\n", d.Steps, d.First, d.Pause, d.Waits)
	}
	golden.Text(t, "testdata/decisions.golden", lines.String())
}

// TestGoldenPlans: plans of a few and of many machines, by seed.
func TestGoldenPlans(t *testing.T) {
	var lines strings.Builder
	for _, n := range []int{0, 5, 8, 30} {
		v := View{Machines: fleetOf(n)}
		for i, m := range v.Machines {
			j := ask(m.Name)[0]
			j.ForMS, j.Priority, j.SinceMS = int64(10_000+7919*(i%5)), i%2, 1000
			if i == 1 {
				j.Phase = Out
			}
			v.Jobs = append(v.Jobs, j)
		}
		s := Status{Machines: v.Machines, Limits: DefaultLimits()}
		s.Limits.Most, s.Limits.MostZone, s.Limits.Share = 3, 2, 0.3
		for _, j := range v.Jobs {
			s.Jobs = append(s.Jobs, Row{Job: j})
		}
		q := QuestionFrom(s, 5000)
		q.Seed, q.Searches = 7, 50
		q.Windows = []Window{{From: 0, To: 60e9}, {From: 100e9, To: 9000e9}}
		p, err := MakePlan(q)
		text, marshalErr := json.Marshal(p)
		require.NoError(t, marshalErr)
		fmt.Fprintln(&lines, string(text), err)
	}
	golden.Text(t, "testdata/plans.golden", lines.String())
}
