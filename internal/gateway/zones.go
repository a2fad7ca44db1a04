package gateway

// unknownZone is the number of a zone that no settings have named.
const unknownZone = -1

// zoneNumbers holds the number by which the decision module knows each zone. The module compares
// numbers that it received under different settings, so a number always stands for the same zone,
// also after a reload that moves or removes zones.
type zoneNumbers map[string]int

// assign gives the next numbers to those zones that have none.
func (z zoneNumbers) assign(names []string) {
	for _, name := range names {
		if _, known := z[name]; !known {
			z[name] = len(z)
		}
	}
}

// number returns the number of a zone, or unknownZone.
func (z zoneNumbers) number(name string) int {
	if number, known := z[name]; known {
		return number
	}
	return unknownZone
}

// numberAt returns the number of the zone with this index in names, or unknownZone.
func (z zoneNumbers) numberAt(names []string, index int) int {
	if index < 0 || index >= len(names) {
		return unknownZone
	}
	return z.number(names[index])
}
