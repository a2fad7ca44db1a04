package scenario

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// The default scenario is valid, and survives encoding and parsing.
func TestDefaultIsValidAndRoundTrips(t *testing.T) {
	s := Default()
	if problems := s.Check(); len(problems) > 0 {
		t.Error(problems)
	}

	var out bytes.Buffer
	if err := toml.NewEncoder(&out).Encode(s); err != nil {
		t.Fatal(err)
	}
	again, err := Parse("printed", out.Bytes())
	if err != nil {
		t.Fatalf("%v\n%s", err, &out)
	}
	var reencoded bytes.Buffer
	if err := toml.NewEncoder(&reencoded).Encode(again); err != nil || reencoded.String() != out.String() {
		t.Errorf("error %v; encoded\n%s\nparsed and encoded again\n%s", err, &out, &reencoded)
	}
}

const validClass = "[[class]]\nname = \"a\"\nshare = 1.0\nworth = 1.0\naim = \"100ms\"\ndeadline = \"1s\"\neffect = \"once\"\nwork = \"5ms\"\nunits = 1\nanswer_bytes = 100\n"

// Parse rejects invalid scenarios with the line and the key of each problem.
func TestInvalidScenariosAreRejectedWithLineAndKey(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"colour = 1", "bad:1: colour: no such key"},
		{"name = \"x\"\n[fleet]\ngateways = 3\nservers = 2\n\n[load]\nspeed = 1", "bad:4: fleet.servers: no such key\nbad:7: load.speed: no such key"},
		{"[fleet]\ngateways = \"many\"", "bad:2: "},
		{"name = ", "bad:1: "},
		{"\nduration = \"long\"", "bad:2: "},
		{"[load]\nimpatient = 1.5", "bad:2: load.impatient: 1.5 is not a fraction"},
		{"duration = \"10s\"\n\n[[fault]]\nkind = \"kill\"\nat = \"12s\"\nfor = \"1s\"\npart = 0.5", "bad:5: fault[0].at: 12s is not within the 10s"},
		{"[[fault]]\nkind = \"kill\"\nat = \"1s\"\nfor = \"1s\"\npart = 0.5\n\n[[fault]]\nkind = \"flood\"\nat = \"1s\"", "bad:8: fault[1].kind: \"flood\" is not known"},
		{"[[fault]]\nkind = \"kill\"\nat = \"1s\"\nfor = \"1s\"", "bad:1: fault[0].part: a fault of kind kill needs either"},
		{"[[fault]]\nkind = \"errors\"\nat = \"1s\"\nfor = \"1s\"\npart = 0.5\nsize = 2.0", "bad:6: fault[0].size: 2 is not a fraction"},
		{"[[fault]]\nkind = \"link\"\nat = \"1s\"\nfor = \"1s\"\nto = \"lists\"\nhow = \"dropped\"", "fault[0].from: \"\" is not gateways"},
		{"[[fault]]\nkind = \"link\"\nat = \"1s\"\nfor = \"1s\"\nfrom = \"n9\"\nto = \"lists\"\nhow = \"dropped\"", "bad:5: fault[0].from: \"n9\": the fleet has 3"},
		{"[[fault]]\nkind = \"link\"\nat = \"1s\"\nfor = \"1s\"\nfrom = \"gateways of x\"\nto = \"lists\"\nhow = \"dropped\"", "bad:5: fault[0].from: \"gateways of x\": there is no zone \"x\" of gateways"},
		{"[[fault]]\nkind = \"link\"\nat = \"1s\"\nfor = \"1s\"\nfrom = \"lists\"\nto = \"gateways\"\nhow = \"dropped\"", "bad:6: fault[0].to: lists does not connect to gateways"},
		{"[[fault]]\nkind = \"link\"\nat = \"1s\"\nfor = \"1s\"\nfrom = \"n1\"\nto = \"backends\"\nhow = \"slow\"", "bad:7: fault[0].how: \"slow\" is not one of [dropped refused]"},
		{"[[fault]]\nkind = \"link\"\nat = \"1s\"\nfor = \"1s\"\nfrom = \"n1\"\nto = \"backends\"\nhow = \"dropped\"\nway = \"there\"", "bad:8: fault[0].way: this link fails both ways only"},
		{"[[fault]]\nkind = \"link\"\nat = \"1s\"\nfor = \"1s\"\nfrom = \"n1\"\nto = \"lists\"\nhow = \"slow\"", "bad:7: fault[0].how: slow with 0 bytes per second: it takes at least 1"},
		{"[[fault]]\nkind = \"link\"\nat = \"1s\"\nfor = \"1s\"\nfrom = \"n1\"\nto = \"lists\"\nhow = \"dropped\"\nway = \"up\"", "bad:8: fault[0].way: \"up\" is not there"},
		{"[[fault]]\nkind = \"link\"\nat = \"1s\"\nfor = \"1s\"\nfrom = \"list0\"\nto = \"list0\"\nhow = \"dropped\"", "bad:5: fault[0].from: the writer connects to no other"},
		{"[[fault]]\nkind = \"link\"\nat = \"1s\"\nfor = \"1s\"\nfrom = \"b-1\"\nto = \"list0\"\nhow = \"dropped\"", "bad:5: fault[0].from: one emulated registrar"},
		{"[[fault]]\nkind = \"link\"\nat = \"1s\"\nfor = \"1s\"\nfrom = \"lists\"\nto = \"list1\"\nhow = \"dropped\"", "bad:6: fault[0].to: only the writer"},
		{"[[fault]]\nkind = \"link\"\nat = \"1s\"\nfor = \"1s\"\nfrom = \"n1\"\nto = \"lists\"\nhow = \"dropped\"\npart = 0.5", "bad:8: fault[0].part: a fault of links takes neither"},
		{"[[fault]]\nkind = \"kill\"\nat = \"1s\"\nfor = \"1s\"\npart = 0.5\nhow = \"slow\"", "fault[0].from: a fault of kind kill is not of links"},
		{"[[fault]]\nkind = \"cut\"\nat = \"1s\"\nfor = \"1s\"\nzone = \"x\"", "bad:5: fault[0].zone: \"x\" is not a zone"},
		{"[fleet]\nzones = [\"a\"]\n[[fault]]\nkind = \"cut\"\nat = \"1s\"\nfor = \"1s\"\nzone = \"a\"", "bad:7: fault[0].zone: there is no other zone"},
		{strings.Replace(validClass, "units = 1", "units = 1000", 1), "bad:9: class[0].units: no plan's burst holds 1000"},
		{strings.Replace(validClass, "share = 1.0", "share = 0.5", 1), "bad:1: class: the shares are 0.5 together"},
		{strings.Replace(validClass, "\"once\"", "\"twice\"", 1), "bad:7: class[0].effect: \"twice\""},
		{strings.Replace(validClass, "aim = \"100ms\"", "aim = \"2s\"", 1), "bad:5: class[0].aim: 2s"},
		{validClass + validClass, "class[1].name: \"a\" is not a name"},
		{"[fleet]\ngateways = 2", "plan[0].spread: 3 is not from 1 to the 2 gateways"},
		{"[load]\nshape = [{at = \"5s\", times = 1.0}, {at = \"4s\", times = 1.0}]", "bad:2: load.shape: step 1: 4s is not after the previous step"},
		{"[rules]\nattempts = 0", "bad:2: rules.attempts: 0"},
	} {
		_, err := Parse("bad", []byte(c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q\ngot error %v\nwant      %s", c.text, err, c.want)
		}
	}
	if _, err := Parse("good", []byte(validClass)); err != nil {
		t.Errorf("valid scenario rejected: %v", err)
	}
}

// Parse neither panics nor accepts a scenario that Check rejects.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validClass))
	f.Add([]byte("[load]\nshape = [{at = \"5s\", times = 1.0}]\n[[fault]]\nkind = \"cut\"\n[fleet]\nzones=[]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("f", text)
		if err == nil && len(s.Check()) > 0 {
			t.Errorf("accepted despite %v", s.Check())
		}
	})
}

// Draw generates valid, bounded faults that depend on the seed alone, and reaches all kinds of
// faults and links.
func TestDrawIsValidBoundedAndReproducible(t *testing.T) {
	drawn := map[string]bool{}
	for seed := range uint64(400) {
		s := Default()
		s.Seed, s.Fleet.ListServices, s.Fleet.Gateways = seed, int(seed%4), 3+int(seed%5)
		if seed%7 == 0 {
			s.Fleet.Zones, s.Fleet.KeepLists = []string{"a"}, false
		}
		s.Draw()
		if problems := s.Check(); len(problems) > 0 || len(s.Faults) == 0 {
			t.Fatalf("seed %d: problems %v in faults %+v", seed, problems, s.Faults)
		}
		for _, f := range s.Faults {
			if f.At < Duration(faultFreeStart) || f.For > Duration(maxFaultDuration) || f.At+f.For > s.Duration*3/4+Duration(time.Millisecond) {
				t.Errorf("seed %d: fault %+v is out of bounds in a duration of %v", seed, f, s.Duration)
			}
			drawn[f.Kind], drawn[f.From+f.To], drawn[f.Effect], drawn[f.Target] = true, true, true, true
		}
		again := s
		again.Draw()
		if !reflect.DeepEqual(again.Faults, s.Faults) {
			t.Errorf("seed %d: a second draw gave other faults", seed)
		}
	}
	for _, want := range []string{"kill", "gone", "freeze", "cut", "list_stale", "listslist0", "backendslist0", "gateways of alists", "slow", "stalled", "list1"} {
		if !drawn[want] {
			t.Errorf("%s is never drawn", want)
		}
	}
}

// KillAfter counts at most 3 s of the longest deadline.
func TestKillAfterLimitsLongestDeadline(t *testing.T) {
	for deadline, want := range map[time.Duration]time.Duration{
		800 * time.Millisecond: 1500 * time.Millisecond,
		3 * time.Second:        3700 * time.Millisecond,
		7 * time.Second:        3700 * time.Millisecond,
	} {
		s := Default()
		for i := range s.Classes {
			s.Classes[i].Deadline = Duration(deadline / time.Duration(i+1))
		}
		if got := s.KillAfter(); got != want {
			t.Errorf("longest deadline %v: killed after %v, want %v", deadline, got, want)
		}
	}
}
