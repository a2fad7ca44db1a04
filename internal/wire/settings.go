package wire

import (
	"encoding/json"
	"fmt"

	"dunlintray/rules"
)

// settingsDocument mirrors the JSON settings of an Attach record. Unknown keys are ignored.
type settingsDocument struct {
	Allowed struct {
		Cancel          bool    `json:"cancel"`
		ConnectTimeoutS float64 `json:"connectTimeoutS"`
		KeepaliveS      float64 `json:"keepaliveS"`
		MaxOpen         int     `json:"maxOpen"`
		MaxRetryAfterS  float64 `json:"maxRetryAfterS"`
		MayDuplicate    bool    `json:"mayDuplicate"`
		MostTries       int     `json:"mostTries"`
		Probes          bool    `json:"probes"`
	} `json:"allowed"`
	Classes []struct {
		AimStretch float64 `json:"aimStretch"`
		DeadlineS  float64 `json:"deadlineS"`
		Effect     string  `json:"effect"`
		KeyScope   string  `json:"keyScope"`
		LateWorth  float64 `json:"lateWorth"`
		Name       string  `json:"name"`
		ObjectiveS float64 `json:"objectiveS"`
		Points     float64 `json:"points"`
		Streamed   bool    `json:"streamed"`
		WindowS    float64 `json:"windowS"`
	} `json:"classes"`
	Discovery  string `json:"discovery"`
	FamilyInfo struct {
		CounterPrice    float64 `json:"counterPrice"`
		CounterTimeoutS float64 `json:"counterTimeoutS"`
		HasCounter      bool    `json:"hasCounter"`
		MostUnits       float64 `json:"mostUnits"`
		TruedUp         bool    `json:"truedUp"`
	} `json:"familyInfo"`
	FleetSize  int `json:"fleetSize"`
	LoadReport struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"loadReport"`
	Kinds       []string `json:"kinds"`
	Localities  []string `json:"localities"`
	Locality    int      `json:"locality"`
	Obligations struct {
		AnswerSlackS float64 `json:"answerSlackS"`
		ColdFrom     float64 `json:"coldFrom"`
		ColdS        float64 `json:"coldS"`
		DrainGraceS  float64 `json:"drainGraceS"`
		FallMultiple float64 `json:"fallMultiple"`
		OverloadForS float64 `json:"overloadForS"`
	} `json:"obligations"`
	Packages []struct {
		AtOnce        float64 `json:"atOnce"`
		BeyondCosts   float64 `json:"beyondCosts"`
		CapSlack      float64 `json:"capSlack"`
		CeilingBurst  float64 `json:"ceilingBurst"`
		Depth         float64 `json:"depth"`
		Name          string  `json:"name"`
		NeverOverRate float64 `json:"neverOverRate"`
		OverWorth     float64 `json:"overWorth"`
		Pays          float64 `json:"pays"`
		UnitsPerS     float64 `json:"unitsPerS"`
	} `json:"packages"`
	Prices struct {
		CrossZone float64 `json:"crossZone"`
		LateFail  float64 `json:"lateFail"`
		Probe     float64 `json:"probe"`
		Waste     float64 `json:"waste"`
	} `json:"prices"`
	Rank    int     `json:"rank"`
	TickS   float64 `json:"tickS"`
	Weights string  `json:"weights"`
}

var effects = map[string]rules.Effect{"": rules.Repeatable, "repeatable": rules.Repeatable,
	"by_key": rules.ByKey, "once": rules.Once}

var scopes = map[string]rules.DedupeScope{"": rules.ScopeAll, "all": rules.ScopeAll,
	"zone": rules.ScopeZone, "cell": rules.ScopeCell}

var loadFields = map[string]rules.LoadField{"busy_reqs": rules.LoadInProgress, "pending": rules.LoadQueued,
	"cpu_share": rules.LoadCPU, "svc_ms": rules.LoadServiceMillis,
	"served_ps": rules.LoadServedPerSecond, "failed_ps": rules.LoadErrorsPerSecond}

// Deployment holds the settings of package rules and the names that the settings give to classes, plans,
// zones and kinds of backends. The position of a name is the index that rules uses.
type Deployment struct {
	rules.Settings
	ClassNames, PlanNames, Zones, Kinds []string
}

// ParseSettings parses the JSON settings of an Attach record.
func ParseSettings(text []byte) (rules.Settings, error) {
	deployment, err := ParseDeployment(text)
	return deployment.Settings, err
}

// ParseDeployment parses JSON settings together with the names in them.
func ParseDeployment(text []byte) (Deployment, error) {
	var document settingsDocument
	if err := json.Unmarshal(text, &document); err != nil {
		return Deployment{}, fmt.Errorf("settings: %w", err)
	}
	deployment := Deployment{Zones: document.Localities, Kinds: document.Kinds}
	for _, class := range document.Classes {
		deployment.ClassNames = append(deployment.ClassNames, class.Name)
	}
	for _, plan := range document.Packages {
		deployment.PlanNames = append(deployment.PlanNames, plan.Name)
	}
	var err error
	deployment.Settings, err = document.settings()
	return deployment, err
}

// settings converts the document into the settings of package rules.
func (d *settingsDocument) settings() (rules.Settings, error) {
	settings := d.deploymentSettings()
	for _, class := range d.Classes {
		effect, known := effects[class.Effect]
		if !known {
			return settings, fmt.Errorf("settings: unknown effect %q", class.Effect)
		}
		scope, known := scopes[class.KeyScope]
		if !known && effect == rules.ByKey {
			return settings, fmt.Errorf("settings: unknown key scope %q", class.KeyScope)
		}
		settings.Classes = append(settings.Classes, rules.Class{Aim: class.ObjectiveS, AimStretch: class.AimStretch,
			Deadline: class.DeadlineS, Worth: class.Points, LateWorth: class.LateWorth, Effect: effect,
			Scope: scope, DedupeWindow: class.WindowS, Streamed: class.Streamed})
	}
	for _, plan := range d.Packages {
		settings.Plans = append(settings.Plans, rules.Plan{Name: plan.Name, Price: plan.Pays, Rate: plan.UnitsPerS, Burst: plan.Depth,
			MaxConcurrent: int(plan.AtOnce), OverQuotaWorth: plan.OverWorth, OverQuotaCost: plan.BeyondCosts,
			CeilingRate: plan.NeverOverRate, CeilingBurst: plan.CeilingBurst, CeilingSlack: plan.CapSlack})
	}
	if len(settings.Classes) == 0 || len(settings.Plans) == 0 {
		return settings, fmt.Errorf("settings: %d classes and %d packages, want at least one of each", len(settings.Classes), len(settings.Plans))
	}
	return settings, nil
}

// deploymentSettings converts everything except classes and plans.
func (d *settingsDocument) deploymentSettings() rules.Settings {
	settings := rules.Settings{
		Rank: d.Rank, Fleet: d.FleetSize, Zone: d.Locality, Tick: d.TickS,
		SubscribeToDiscovery: d.Discovery == "ask",
		ApproximateWeights:   d.Weights == "rough" || d.Weights == "nominal",
		LoadInline:           d.LoadReport.How == "inline",

		Counter:        d.FamilyInfo.HasCounter,
		CounterTimeout: d.FamilyInfo.CounterTimeoutS,
		CounterPrice:   d.FamilyInfo.CounterPrice,
		MaxUnits:       d.FamilyInfo.MostUnits,
		UnitsEstimated: d.FamilyInfo.TruedUp,

		CanCancel: d.Allowed.Cancel, CanProbe: d.Allowed.Probes, CanHedge: d.Allowed.MayDuplicate,
		MaxRetryAfter: d.Allowed.MaxRetryAfterS,
		MaxAttempts:   d.Allowed.MostTries, MaxInProgress: d.Allowed.MaxOpen,
		ConnectTimeout: d.Allowed.ConnectTimeoutS, KeepAlive: d.Allowed.KeepaliveS,

		AnswerSlack: d.Obligations.AnswerSlackS, DrainGrace: d.Obligations.DrainGraceS,
		InitialColdFraction: d.Obligations.ColdFrom, ColdDuration: d.Obligations.ColdS,
		OverloadMultiple: d.Obligations.FallMultiple, OverloadDuration: d.Obligations.OverloadForS,

		CrossZonePrice: d.Prices.CrossZone, WastePrice: d.Prices.Waste,
		LateFailPrice: d.Prices.LateFail, ProbePrice: d.Prices.Probe,
	}
	for _, field := range d.LoadReport.Fields {
		settings.LoadFields = append(settings.LoadFields, loadFields[field])
	}
	return settings
}
