package scenario

import (
	"encoding/json"
	"fmt"
)

// Addresses are the addresses in the configuration of a gateway, as host:port.
type Addresses struct {
	Listen     string // for clients
	Control    string // for operators
	Discovery  string
	Registries []string // service registries, which replace Discovery
	Counter    string
	PeerListen string   // for datagrams of other gateways
	Peers      []string // the gateways' addresses for datagrams, by gateway number
	Broadcast  string   // for datagrams to all gateways
}

// object is a JSON object. encoding/json sorts its keys, so that files are comparable.
type object = map[string]any

// GatewayConfig returns the configuration of gateway n in JSON. known is the list of backends
// that the gateway starts with, in the form of package registry, or nil.
func (s *Scenario) GatewayConfig(n int, addresses Addresses, known any) ([]byte, error) {
	config := object{
		"name": fmt.Sprintf("n%d", n), "listen": addresses.Listen, "control": addresses.Control, "counter": addresses.Counter,
		"seed":     fmt.Sprintf("%016x", s.Seed<<16+uint64(n)+1),
		"limits":   object{"cores": s.Fleet.Cores, "memory_mb": s.Fleet.MemoryMB, "sockets": s.Fleet.Sockets},
		"settings": s.settings(n),
	}
	if addresses.Discovery != "" {
		config["discovery"] = addresses.Discovery
	}
	if len(addresses.Peers) > 0 {
		config["peer_listen"], config["peers"], config["peers_all"] = addresses.PeerListen, addresses.Peers, addresses.Broadcast
	}
	if s.Fleet.Membership {
		config["membership"] = true
	}
	if len(addresses.Registries) > 0 {
		config["registries"] = addresses.Registries
	}
	if known != nil {
		config["known"] = known
	}
	return json.MarshalIndent(config, "", " ")
}

// GroupAddresses are the addresses of a group of service registries, as one member uses them.
type GroupAddresses struct {
	Listen  string   // for the other members
	Members []string // of the members' group traffic, by number from 0
	Lists   []string // of the members' lists, by number from 0
}

// RegistryConfig returns the configuration of service registry n in JSON. writer is the address
// of the writer, empty for the writer itself. dir is the data directory, used if the registry
// stores its list. group is used if the registries form a group.
func (s *Scenario) RegistryConfig(n int, listen, control, writer, dir string, group GroupAddresses) ([]byte, error) {
	config := object{"listen": listen, "control": control, "lease_ms": LeaseMs}
	if s.Fleet.Group {
		members, lists := object{}, object{}
		for k := range group.Members {
			members[fmt.Sprint(k+1)], lists[fmt.Sprint(k+1)] = group.Members[k], group.Lists[k]
		}
		config["group"] = object{"name": s.Name, "self": n + 1, "listen": group.Listen, "members": members, "lists": lists, "data_dir": dir}
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

// LeaseMs is the lease of a backend's registration in milliseconds.
const LeaseMs = 2000

// settings returns the deployment's settings in the form of a gateway's configuration.
func (s *Scenario) settings(n int) object {
	var classes, packages []object
	maxUnits := 0
	for _, class := range s.Classes {
		scope := class.Scope
		if scope == "" {
			scope = "all"
		}
		classes = append(classes, object{"name": class.Name, "points": class.Worth, "lateWorth": class.LateWorth, "objectiveS": class.Aim.Seconds(),
			"deadlineS": class.Deadline.Seconds(), "effect": class.Effect, "keyScope": scope, "windowS": class.Window.Seconds(), "streamed": false})
		maxUnits = max(maxUnits, class.Units)
	}
	for _, plan := range s.Plans {
		packages = append(packages, object{"name": plan.Name, "pays": plan.Price, "unitsPerS": plan.Rate, "depth": plan.Burst, "overWorth": plan.OverWorth,
			"beyondCosts": plan.OverCost, "neverOverRate": plan.CeilingRate, "ceilingBurst": plan.CeilingBurst, "capSlack": plan.CeilingSlack, "atOnce": 0})
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
			"mostUnits": maxUnits, "truedUp": false, "inboxPerS": s.Network.PeerInPerS},
		"obligations": object{"answerSlackS": s.Rules.AnswerSlack.Seconds(), "coldFrom": s.Backend.ColdFrom, "coldS": s.Backend.ColdDuration.Seconds(),
			"drainGraceS": s.Rules.DrainGrace.Seconds(), "fallMultiple": s.Backend.ColdMultiple, "overloadForS": s.Backend.OverloadFor.Seconds()},
		"prices": object{"crossZone": 0.005, "waste": 0.03, "lateFail": 0.08, "probe": 0.01},
	}
}
