package scenario

import (
	"encoding/json"
	"fmt"
)

// Addresses are where the processes of a fleet meet each other.
type Addresses struct {
	Listen     string // clients
	Control    string // operators
	Discovery  string
	Registries []string // list services, in discovery's place
	Counter    string
	PeerListen string   // where datagrams of other gateways come in
	Peers      []string // the gateways' addresses for datagrams, by their numbers
	Broadcast  string   // of all of them
}

// object is a JSON object; its keys are written in order, so that files can be
// compared.
type object = map[string]any

// GatewayConfig is the configuration of one gateway. Known is a list in
// discovery's form, or nil.
func (s *Scenario) GatewayConfig(n int, a Addresses, known any) ([]byte, error) {
	config := object{
		"name": fmt.Sprintf("n%d", n), "listen": a.Listen, "control": a.Control, "counter": a.Counter,
		"seed":     fmt.Sprintf("%016x", s.Seed<<16+uint64(n)+1),
		"limits":   object{"cores": s.Fleet.Cores, "memory_mb": s.Fleet.MemoryMB, "sockets": s.Fleet.Sockets},
		"settings": s.settings(n),
	}
	if a.Discovery != "" {
		config["discovery"] = a.Discovery
	}
	if len(a.Peers) > 0 {
		config["peer_listen"], config["peers"], config["peers_all"] = a.PeerListen, a.Peers, a.Broadcast
	}
	if s.Fleet.Membership {
		config["membership"] = true
	}
	if len(a.Registries) > 0 {
		config["registries"] = a.Registries
	}
	if known != nil {
		config["known"] = known
	}
	return json.MarshalIndent(config, "", " ")
}

// GroupAddresses are where a member of a group of list services finds the others, and
// is found, by their numbers from 0.
type GroupAddresses struct {
	Listen         string
	Members, Lists []string
}

// RegistryConfig is the configuration of one list service. Writer is empty for
// the writer itself; dir is where it keeps its list, if the scenario says so. The
// addresses are used where list services form a group.
func (s *Scenario) RegistryConfig(n int, listen, control, writer, dir string, at GroupAddresses) ([]byte, error) {
	config := object{"listen": listen, "control": control, "lease_ms": LeaseMs}
	if s.Fleet.Group {
		members, lists := object{}, object{}
		for k := range at.Members {
			members[fmt.Sprint(k+1)], lists[fmt.Sprint(k+1)] = at.Members[k], at.Lists[k]
		}
		config["group"] = object{"name": s.Name, "self": n + 1, "listen": at.Listen, "members": members, "lists": lists, "data_dir": dir}
		return json.MarshalIndent(config, "", " ")
	}
	if writer != "" {
		config["writer"] = writer
	}
	if s.Fleet.KeepLists {
		config["data_dir"] = dir
	}
	return json.MarshalIndent(config, "", " ")
}

// LeaseMs is how long a list service keeps a backend that says nothing.
const LeaseMs = 2000

// settings are what an operator states about the deployment, under the names
// that gateways know.
func (s *Scenario) settings(n int) object {
	var classes, packages []object
	most := 0
	for _, c := range s.Classes {
		scope := c.Scope
		if scope == "" {
			scope = "all"
		}
		classes = append(classes, object{"name": c.Name, "points": c.Worth, "lateWorth": c.LateWorth, "objectiveS": c.Aim.Seconds(),
			"deadlineS": c.Deadline.Seconds(), "effect": c.Effect, "keyScope": scope, "windowS": c.Window.Seconds(), "streamed": false})
		most = max(most, c.Units)
	}
	for _, p := range s.Plans {
		packages = append(packages, object{"name": p.Name, "pays": p.Price, "unitsPerS": p.Rate, "depth": p.Burst, "overWorth": p.OverWorth,
			"beyondCosts": p.OverCost, "neverOverRate": p.CeilingRate, "ceilingBurst": p.CeilingBurst, "capSlack": p.CeilingSlack, "atOnce": 0})
	}
	report := object{"how": "off", "fields": []string{}}
	if s.Backend.LoadReports {
		report = object{"how": "inline", "fields": []string{"busy_reqs", "pending", "cpu_share"}}
	}
	return object{
		"family": "gate", "fleetSize": s.Fleet.Gateways, "rank": n, "kinds": []string{"std"}, "localities": s.Fleet.Zones,
		"locality": n % len(s.Fleet.Zones), "tickS": 0.002, "weights": "off", "discovery": "push", "tier": 0, "layers": []string{"backends"},
		"allowed": object{"cancel": true, "connectTimeoutS": s.Network.ConnectTimeout.Seconds(), "keepaliveS": s.Backend.KeepAlive.Seconds(),
			"maxOpen": 20000, "maxRetryAfterS": 1.0, "mayDuplicate": false, "mostTries": s.Rules.MaxAttempts, "peers": true, "probes": false, "retryAfter": true},
		"classes": classes, "packages": packages, "loadReport": report,
		"familyInfo": object{"hasCounter": true, "counterPrice": s.Counter.Price, "counterTimeoutS": s.Counter.Timeout.Seconds(),
			"mostUnits": most, "truedUp": false, "inboxPerS": s.Network.PeerInPerS},
		"obligations": object{"answerSlackS": s.Rules.AnswerSlack.Seconds(), "coldFrom": s.Backend.ColdFrom, "coldS": s.Backend.ColdDuration.Seconds(),
			"drainGraceS": s.Rules.DrainGrace.Seconds(), "fallMultiple": s.Backend.ColdMultiple, "overloadForS": s.Backend.OverloadFor.Seconds()},
		"prices": object{"crossZone": 0.005, "waste": 0.03, "lateFail": 0.08, "probe": 0.01},
	}
}
