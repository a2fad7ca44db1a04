package scale

import (
	"slices"
	"strings"
	"testing"
	"time"

	scales "dunlintray/scale"
)

func TestScenariosThatShip(t *testing.T) {
	for _, name := range scales.Names() {
		text, err := scales.Text(name)
		if err != nil {
			t.Fatal(err)
		}
		s, err := Parse(name, text)
		if err != nil {
			t.Error(err)
			continue
		}
		if s.Name != name {
			t.Errorf("%s has the name %q", name, s.Name)
		}
	}
}

func TestParseRefuses(t *testing.T) {
	for text, want := range map[string]string{
		"length = \"0s\"":                                                  "length",
		"[fleet]\nmembers = 2":                                             "members",
		"[fleet]\ngateways = 0":                                            "gateways",
		"[fleet]\nservices = 301":                                          "services",
		"[fleet]\nlease = \"1ms\"":                                         "lease",
		"[fleet]\ngatways = 3":                                             "no such key",
		"[fleet]\ngateways = \"x\"":                                        "x:2:", // the line is told
		"[changes]\nper_s = -1.0":                                          "per_s",
		"[changes]\nregister = 0.0":                                        "register",
		"[reading]\nservices = 11":                                         "reading.services",
		"[reading]\nwithin = \"zone\"":                                     "needs reading.services",
		"[reading]\nservices = 1\nwithin = \"rack\"":                       "within",
		"[reading]\nsubset = 3":                                            "subset",
		"[hosts]\nconnections = 0":                                         "hosts",
		"[[fault]]\nkind = \"flood\"\nfor = \"1s\"":                        "flood",
		"[[fault]]\nkind = \"rack\"\nfor = \"1s\"":                         "none or more",
		"[[fault]]\nkind = \"zone\"\nzone=\"z\"\nfor=\"1s\"":               "r0z0",
		"[[fault]]\nkind = \"region_cut\"\nfor = \"1s\"":                   "region",
		"[[fault]]\nkind = \"kill\"\nfor = \"1s\"":                         "member0",
		"[[fault]]\nkind = \"zone\"\nzone=\"r0z0\"\nat=\"9s\"\nfor=\"2s\"": "not within",
	} {
		_, err := Parse("x", []byte(text))
		if err == nil {
			t.Errorf("%q is taken", text)
		} else if !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, which does not say %q", text, err, want)
		}
	}
}

func testScenario() *Scenario {
	s := Default()
	s.Fleet.Regions, s.Fleet.Zones, s.Fleet.Gateways, s.Fleet.Backends, s.Fleet.Services, s.Fleet.Followers = 2, 3, 12, 120, 5, 2
	return &s
}

func TestPlanSpreadsEvenly(t *testing.T) {
	s := testScenario()
	s.Faults = []*Fault{{Kind: FaultRegionCut, Region: "r1", For: Duration(time.Second)}}
	p := NewPlan(s, 20)
	zones, services := map[string]int{}, map[string]int{}
	for _, b := range p.Backends {
		zones[b.Zone]++
		services[b.Service+b.Zone]++
		if b.Region != b.Zone[:2] {
			t.Fatalf("%+v: its zone is not of its region", b)
		}
	}
	for zone, n := range zones {
		if n != 20 || !slices.Contains(s.zoneNames(), zone) {
			t.Errorf("%d backends in %s", n, zone)
		}
	}
	if len(services) != 5*6 {
		t.Errorf("services have backends in %d zones, not in all", len(services))
	}
	seen := map[string]bool{}
	for _, service := range p.Services {
		for _, address := range []string{service.Listen, service.Control, service.Group, service.RelayListen} {
			if address != "" && seen[address] {
				t.Errorf("%s stands twice", address)
			}
			seen[address] = true
		}
		if (service.RelayListen != "") != (service.Region == "r1") {
			t.Errorf("%s of %q has the link %q, and only r1 is cut off", service.Name, service.Region, service.RelayListen)
		}
	}
	if got := p.Registries("r1"); len(got) != 2 || got[0] != p.Services[5].Listen {
		t.Errorf("gateways of r1 read from %v", got)
	}
	s.Fleet.Followers = 0
	s.Faults = nil
	if got := NewPlan(s, 20).Registries("r1"); len(got) != 3 {
		t.Errorf("without followers, gateways read from %v", got)
	}
}

func TestScopes(t *testing.T) {
	s := testScenario()
	s.Reading = Reading{Services: 2, Within: WithinZone}
	p := NewPlan(s, 20)
	g := p.Gateways[7] // of the second place: region 1, zone 0
	if g.Zone != "r1z0" || len(g.Scopes) != 2 || g.Scopes[0].String() != "s4@zone=r1z0" || g.Scopes[1].String() != "s0@zone=r1z0" {
		t.Fatalf("%+v", g)
	}
	n := 0
	for _, b := range p.Backends {
		if g.Reads(b) {
			n++
		}
	}
	if n != 8 || p.backendsPerGateway() != 8 {
		t.Errorf("it reads %d backends and the plan expects %g, not 8", n, p.backendsPerGateway())
	}
	if !(Gateway{}).Reads(p.Backends[0]) {
		t.Error("a gateway without scopes reads the whole list")
	}
}

func TestFits(t *testing.T) {
	machine := Machine{MemoryMB: 24_000, Files: 20_000}
	s := testScenario()
	if err := NewPlan(s, 20).CheckResources(machine); err != nil {
		t.Error(err)
	}
	for want, change := range map[string]func(s *Scenario){
		"processes":                      func(s *Scenario) { s.Hosts.Gateways, s.Fleet.Gateways = 1, 200 },
		"of memory":                      func(s *Scenario) { s.Fleet.Gateways, s.Fleet.Backends = 2000, 10_000 },
		"descriptors of a list service":  func(s *Scenario) { s.Fleet.Gateways = 11_000 },
		"descriptors of a process":       func(s *Scenario) { s.Hosts.Gateways, s.Fleet.Gateways = 10_000, 10_000 },
		"membership of 60000 gateways":   func(s *Scenario) { s.Fleet.Membership, s.Fleet.Gateways = true, 60_000 },
		"lower hosts.gateways":           func(s *Scenario) { s.Hosts.Gateways, s.Fleet.Gateways = 10_000, 10_000 },
		"put more hollow ones into one ": func(s *Scenario) { s.Hosts.Backends, s.Fleet.Backends = 1, 500 },
	} {
		s := testScenario()
		change(s)
		if err := NewPlan(s, 20).CheckResources(machine); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, which does not say %q", err, want)
		}
	}
}

func TestSweepChecks(t *testing.T) {
	s := testScenario()
	good := Sweep{Quantity: "gateways", Sizes: []float64{3, 9}, Against: "changes", AgainstSizes: []float64{1, 3}}
	if err := good.Check(s); err != nil {
		t.Error(err)
	}
	if n := len(good.points()); n != 4 {
		t.Errorf("%d points", n)
	}
	if one := good.scenarioAt(s, Point{X: 9, Z: 3}); one.Fleet.Gateways != 9 || one.Changes.PerS != 3 || s.Fleet.Gateways != 12 {
		t.Errorf("%+v", one)
	}
	for _, bad := range []Sweep{{Quantity: "moons", Sizes: []float64{1, 3}}, {Quantity: "gateways", Sizes: []float64{1}}, {Quantity: "gateways", Sizes: []float64{0, 3}},
		{Quantity: "gateways", Sizes: []float64{1, 3}, Against: "gateways", AgainstSizes: []float64{1, 3}}, {Quantity: "gateways", Sizes: []float64{1, 3}, Against: "changes"},
		{Quantity: "backends", Sizes: []float64{100, 2_000_000}}} {
		if bad.Check(s) == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
}
