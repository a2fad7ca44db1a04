package standins

import "fmt"

// Class is a class of requests in the settings.
func Class(name, effect string, points, objectiveS, deadlineS, lateWorth, windowS float64) map[string]any {
	return map[string]any{"name": name, "effect": effect, "keyScope": "all", "points": points, "objectiveS": objectiveS,
		"deadlineS": deadlineS, "lateWorth": lateWorth, "windowS": windowS, "streamed": false}
}

// Zones are the buildings of the deployment.
var Zones = []string{"edificio-a", "edificio-b", "edificio-c"}

// MachineType is the only kind of backend of the deployment.
const MachineType = "std-3c"

// CampusConfig returns the configuration of gateway number rank of three, of the size that the brief
// states for leon-campus: two classes, two plans, three buildings. It changes the project's own example.
func (r *Run) CampusConfig(rank int) (config, settings map[string]any) {
	config = r.ReadExample("gateway.json")
	config["name"], config["seed"] = fmt.Sprintf("n%d", rank), fmt.Sprintf("%016x", 0x46000+rank)
	config["limits"] = map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256}
	settings = config["settings"].(map[string]any)
	settings["classes"] = []any{Class("availability", "repeatable", 1, 2, 6, 0, 0), Class("reserve", "by_key", 3, 1.5, 7.5, 0.2, 15)}
	plan := func(name string, rate, depth, pays, beyond, ceiling, ceilingBurst, slack float64) map[string]any {
		return map[string]any{"name": name, "unitsPerS": rate, "depth": depth, "pays": pays, "beyondCosts": beyond, "overWorth": 0,
			"neverOverRate": ceiling, "ceilingBurst": ceilingBurst, "capSlack": slack, "atOnce": 0}
	}
	settings["packages"] = []any{plan("basico", 2.5, 10, 1.1, 0.5, 0, 0, 0), plan("empresarial", 18, 40, 1.6, 1.2, 32, 72, 7)}
	settings["localities"], settings["locality"], settings["kinds"] = Zones, rank, []string{MachineType}
	settings["fleetSize"], settings["rank"], settings["tickS"] = 3, rank, 0.004
	return config, settings
}
