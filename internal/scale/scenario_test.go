package scale

import (
	"slices"
	"strings"
	"testing"
	"time"

	scales "dunlintray/scale"
)

// TestShippedScenariosParse checks that all embedded scenarios are valid and named after their
// files.
func TestShippedScenariosParse(t *testing.T) {
	for _, name := range scales.Names() {
		text, err := scales.Text(name)
		if err != nil {
			t.Fatal(err)
		}
		parsed, err := Parse(name, text)
		if err != nil {
			t.Error(err)
			continue
		}
		if parsed.Name != name {
			t.Errorf("scenario %s has the name %q", name, parsed.Name)
		}
	}
}

// TestParseRejectsInvalidScenarios checks that invalid values are rejected with an error that
// names the key, the value or the line.
func TestParseRejectsInvalidScenarios(t *testing.T) {
	for text, want := range map[string]string{
		"length = \"0s\"":                                                  "length",
		"[fleet]\nmembers = 2":                                             "members",
		"[fleet]\ngateways = 0":                                            "gateways",
		"[fleet]\nservices = 301":                                          "services",
		"[fleet]\nlease = \"1ms\"":                                         "lease",
		"[fleet]\ngatways = 3":                                             "no such key",
		"[fleet]\ngateways = \"x\"":                                        "x:2:", // the error names the line
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
			t.Errorf("%q was accepted", text)
		} else if !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want it to contain %q", text, err, want)
		}
	}
}

func testScenario() *Scenario {
	scenario := Default()
	scenario.Fleet.Regions, scenario.Fleet.Zones, scenario.Fleet.Gateways, scenario.Fleet.Backends, scenario.Fleet.Services, scenario.Fleet.Followers = 2, 3, 12, 120, 5, 2
	return &scenario
}

// TestPlanSpreadsEvenly checks that backends are spread evenly over zones, that addresses are
// unique, and that only followers of a cut region use a relay.
func TestPlanSpreadsEvenly(t *testing.T) {
	scenario := testScenario()
	scenario.Faults = []*Fault{{Kind: FaultRegionCut, Region: "r1", For: Duration(time.Second)}}
	plan := NewPlan(scenario, 20)
	zones, services := map[string]int{}, map[string]int{}
	for _, backend := range plan.Backends {
		zones[backend.Zone]++
		services[backend.Service+backend.Zone]++
		if backend.Region != backend.Zone[:2] {
			t.Fatalf("%+v: its zone is not in its region", backend)
		}
	}
	for zone, n := range zones {
		if n != 20 || !slices.Contains(scenario.zoneNames(), zone) {
			t.Errorf("%d backends in %s", n, zone)
		}
	}
	if len(services) != 5*6 {
		t.Errorf("backends in %d pairs of service and zone, want 30", len(services))
	}
	seen := map[string]bool{}
	for _, service := range plan.Services {
		for _, address := range []string{service.Listen, service.Control, service.Group, service.RelayListen} {
			if address != "" && seen[address] {
				t.Errorf("address %s is assigned twice", address)
			}
			seen[address] = true
		}
		if (service.RelayListen != "") != (service.Region == "r1") {
			t.Errorf("%s of %q has the relay address %q, but only r1 is cut off", service.Name, service.Region, service.RelayListen)
		}
	}
	if got := plan.Registries("r1"); len(got) != 2 || got[0] != plan.Services[5].Listen {
		t.Errorf("gateways of r1 read from %v", got)
	}
	scenario.Fleet.Followers = 0
	scenario.Faults = nil
	if got := NewPlan(scenario, 20).Registries("r1"); len(got) != 3 {
		t.Errorf("without followers, gateways read from %v", got)
	}
}

// TestScopesSelectZoneBackends checks that a gateway reads exactly the backends of its
// services in its zone.
func TestScopesSelectZoneBackends(t *testing.T) {
	scenario := testScenario()
	scenario.Reading = Reading{Services: 2, Within: WithinZone}
	plan := NewPlan(scenario, 20)
	gateway := plan.Gateways[7] // in region 1, zone 0
	if gateway.Zone != "r1z0" || len(gateway.Scopes) != 2 || gateway.Scopes[0].String() != "s4@zone=r1z0" || gateway.Scopes[1].String() != "s0@zone=r1z0" {
		t.Fatalf("%+v", gateway)
	}
	readCount := 0
	for _, backend := range plan.Backends {
		if gateway.Reads(backend) {
			readCount++
		}
	}
	if readCount != 8 || plan.backendsPerGateway() != 8 {
		t.Errorf("the gateway reads %d backends and the plan estimates %g, want 8", readCount, plan.backendsPerGateway())
	}
	if !(Gateway{}).Reads(plan.Backends[0]) {
		t.Error("a gateway without scopes does not read the whole list")
	}
}

// TestCheckResourcesRejectsOversizedScenarios checks that scenarios beyond a machine's
// processes, memory, descriptors or addresses are rejected.
func TestCheckResourcesRejectsOversizedScenarios(t *testing.T) {
	machine := Machine{MemoryMB: 24_000, Files: 20_000}
	scenario := testScenario()
	if err := NewPlan(scenario, 20).CheckResources(machine); err != nil {
		t.Error(err)
	}
	for want, change := range map[string]func(scenario *Scenario){
		"processes":                      func(scenario *Scenario) { scenario.Hosts.Gateways, scenario.Fleet.Gateways = 1, 200 },
		"of memory":                      func(scenario *Scenario) { scenario.Fleet.Gateways, scenario.Fleet.Backends = 2000, 10_000 },
		"descriptors of a list service":  func(scenario *Scenario) { scenario.Fleet.Gateways = 11_000 },
		"descriptors of a process":       func(scenario *Scenario) { scenario.Hosts.Gateways, scenario.Fleet.Gateways = 10_000, 10_000 },
		"membership of 60000 gateways":   func(scenario *Scenario) { scenario.Fleet.Membership, scenario.Fleet.Gateways = true, 60_000 },
		"lower hosts.gateways":           func(scenario *Scenario) { scenario.Hosts.Gateways, scenario.Fleet.Gateways = 10_000, 10_000 },
		"put more hollow ones into one ": func(scenario *Scenario) { scenario.Hosts.Backends, scenario.Fleet.Backends = 1, 500 },
	} {
		scenario := testScenario()
		change(scenario)
		if err := NewPlan(scenario, 20).CheckResources(machine); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want it to contain %q", err, want)
		}
	}
}

// TestSweepCheckRejectsInvalidSweeps checks that invalid quantities and sizes are rejected,
// and that a sweep leaves the base scenario unchanged.
func TestSweepCheckRejectsInvalidSweeps(t *testing.T) {
	scenario := testScenario()
	good := Sweep{Quantity: "gateways", Sizes: []float64{3, 9}, Against: "changes", AgainstSizes: []float64{1, 3}}
	if err := good.Check(scenario); err != nil {
		t.Error(err)
	}
	if count := len(good.points()); count != 4 {
		t.Errorf("%d points", count)
	}
	if variant := good.scenarioAt(scenario, Point{X: 9, Z: 3}); variant.Fleet.Gateways != 9 || variant.Changes.PerS != 3 || scenario.Fleet.Gateways != 12 {
		t.Errorf("%+v", variant)
	}
	for _, bad := range []Sweep{{Quantity: "moons", Sizes: []float64{1, 3}}, {Quantity: "gateways", Sizes: []float64{1}}, {Quantity: "gateways", Sizes: []float64{0, 3}},
		{Quantity: "gateways", Sizes: []float64{1, 3}, Against: "gateways", AgainstSizes: []float64{1, 3}}, {Quantity: "gateways", Sizes: []float64{1, 3}, Against: "changes"},
		{Quantity: "backends", Sizes: []float64{100, 2_000_000}}} {
		if bad.Check(scenario) == nil {
			t.Errorf("%+v was accepted", bad)
		}
	}
}
