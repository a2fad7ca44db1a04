package capacity

import (
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
)

// Tables of the page. Each stands between two comments that name it.
const (
	SlopeTable      = "slopes"
	TimeTable       = "times"
	AssumptionTable = "assumptions"
	FigureTable     = "figures"
	RankingTable    = "ranking"
	ScopedTable     = "scoped"
	ScopedRanking   = "scoped ranking"
	MissingTable    = "missing"
)

// Measured is a quantity measured at several sizes, the others held.
type Measured struct {
	Name    string  // a row of the page's table of slopes
	Unit    string  // of the values, and what the size counts: "B by backends"
	Within  float64 // the factor within which a value may leave the page's; 0: it is not compared (processor time)
	Command string  // that gives it
	Points  []Point
}

// Slope is a row of the page's table of slopes or of processor times.
type Slope struct {
	Measured
	Fit Fit
}

// Page is docs/CAPACITY.md.
type Page struct {
	path string
	text string
}

// ReadPage reads the page.
func ReadPage(path string) (*Page, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return &Page{path, string(text)}, nil
}

// Write keeps the page under its path.
func (p *Page) Write() error { return os.WriteFile(p.path, []byte(p.text), 0o644) }

func markers(table string) (begin, end string) {
	return "<!-- " + table + " -->\n", "<!-- end of " + table + " -->"
}

// bounds returns where a table's text begins and ends.
func (p *Page) bounds(table string) (begin, end int, err error) {
	first, last := markers(table)
	begin, end = strings.Index(p.text, first), strings.Index(p.text, last)
	if begin < 0 || end < begin {
		return 0, 0, fmt.Errorf("%s: no table between %q and %q", p.path, first, last)
	}
	return begin + len(first), end, nil
}

// Table returns the text of a table.
func (p *Page) Table(table string) (string, error) {
	begin, end, err := p.bounds(table)
	if err != nil {
		return "", err
	}
	return p.text[begin:end], nil
}

// Replace puts another text in a table's place.
func (p *Page) Replace(table, text string) error {
	begin, end, err := p.bounds(table)
	if err != nil {
		return err
	}
	p.text = p.text[:begin] + text + p.text[end:]
	return nil
}

// Slopes reads the tables of slopes and of processor times, by name.
func (p *Page) Slopes() (Slopes, error) {
	all := Slopes{}
	for _, table := range []string{SlopeTable, TimeTable} {
		rows, err := p.rows(table)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			if _, twice := all[row.Name]; twice {
				return nil, fmt.Errorf("%s stands twice", row.Name)
			}
			all[row.Name] = row
		}
	}
	return all, nil
}

const (
	slopeHead = "| slope | unit | measured, by size | fit | residual | bends at | within | command |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n"
	notAtAll  = "-"
)

func (p *Page) rows(table string) (all []Slope, err error) {
	text, err := p.Table(table)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		s, err := parseRow(line)
		if row := s.Row(); err == nil && row != strings.TrimSpace(line) {
			err = fmt.Errorf("the fit is not that of the sizes: want %s", row)
		}
		if err != nil {
			return nil, fmt.Errorf("table %s: %q: %w", table, strings.TrimSpace(line), err)
		}
		all = append(all, s)
	}
	return all, nil
}

func parseRow(line string) (s Slope, err error) {
	cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
	if len(cells) != 8 {
		return s, fmt.Errorf("%d cells, not 8", len(cells))
	}
	for n := range cells {
		cells[n] = strings.TrimSpace(cells[n])
	}
	s.Name, s.Unit, s.Command = strings.Trim(cells[0], "`"), cells[1], strings.Trim(cells[7], "`")
	for pair := range strings.SplitSeq(cells[2], ";") {
		size, value, found := strings.Cut(pair, ":")
		at, err1 := parseNumber(size)
		y, err2 := parseNumber(value)
		if err := errors.Join(err1, err2); !found || err != nil || y <= 0 {
			return s, fmt.Errorf("%q is not SIZE: VALUE", pair)
		}
		s.Points = append(s.Points, Point{int(at), y})
	}
	if len(s.Points) < 2 {
		return s, errors.New("fewer than two sizes")
	}
	if cells[6] != notAtAll {
		if s.Within, err = parseNumber(cells[6]); err != nil || s.Within < 1 {
			return s, fmt.Errorf("%q is not a factor", cells[6])
		}
	}
	s.Fit = NewFit(s.Points)
	return s, nil
}

func parseNumber(text string) (float64, error) {
	return strconv.ParseFloat(strings.ReplaceAll(strings.TrimSpace(text), ",", ""), 64)
}

// Row is the page's line of a quantity.
func (m Measured) Row() string {
	if len(m.Points) == 0 {
		return ""
	}
	m.Points = rounded(m.Points)
	fit := NewFit(m.Points)
	var points []string
	for _, p := range m.Points {
		points = append(points, Number(float64(p.Size))+": "+Number(p.Value))
	}
	within, bends := notAtAll, notAtAll
	if m.Within > 0 {
		within = Number(m.Within)
	}
	if fit.BendAt > 0 {
		bends = Number(float64(fit.BendAt))
	}
	return fmt.Sprintf("| `%s` | %s | %s | %v | %.2f | %s | %s | `%s` |", m.Name, m.Unit, strings.Join(points, "; "), fit, fit.Residual, bends, within, m.Command)
}

// rounded returns the points as the page has them, so that the fit is that of the page.
func rounded(points []Point) []Point {
	points = slices.Clone(points)
	for n := range points {
		if v, err := parseNumber(Number(points[n].Value)); err == nil {
			points[n].Value = v
		}
	}
	return points
}

// Put puts a measured quantity into the page, in place of its line if there is one.
func (p *Page) Put(m Measured) error {
	table := SlopeTable
	if m.Within == 0 {
		table = TimeTable
	}
	text, err := p.Table(table)
	if err != nil {
		return err
	}
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	at := slices.IndexFunc(lines, func(l string) bool { return strings.HasPrefix(l, "| `"+m.Name+"` |") })
	switch {
	case at >= 0:
		lines[at] = m.Row()
	case strings.Contains(text, slopeHead):
		lines = append(lines, m.Row())
	default:
		lines = []string{strings.TrimSuffix(slopeHead, "\n"), m.Row()}
	}
	return p.Replace(table, strings.Join(lines, "\n")+"\n")
}

// Refit works out the fits of all lines of the tables of slopes and times anew.
func (p *Page) Refit() error {
	for _, table := range []string{SlopeTable, TimeTable} {
		text, err := p.Table(table)
		if err != nil {
			return err
		}
		for line := range strings.Lines(text) {
			if !strings.HasPrefix(line, "| `") {
				continue
			}
			s, err := parseRow(line)
			if err == nil {
				err = p.Put(s.Measured)
			}
			if err != nil {
				return fmt.Errorf("table %s: %q: %w", table, strings.TrimSpace(line), err)
			}
		}
	}
	return nil
}

// Compare finds a value that leaves the page's at the same size by more than the factor
// that the page states, either way.
func (s Slopes) Compare(m Measured) error {
	row, there := s[m.Name]
	if !there {
		return fmt.Errorf("%s: the page has no such slope", m.Name)
	}
	if row.Within == 0 {
		return fmt.Errorf("%s: the page states no factor", m.Name)
	}
	for _, p := range m.Points {
		n := slices.IndexFunc(row.Points, func(have Point) bool { return have.Size == p.Size })
		if n < 0 {
			return fmt.Errorf("%s: the page has no value at size %d", m.Name, p.Size)
		}
		have := row.Points[n].Value
		if ratio := p.Value / have; math.IsNaN(ratio) || ratio > row.Within || ratio < 1/row.Within {
			return fmt.Errorf("%s at size %d: %s, and the page has %s: a factor of %.2f, and %s is allowed",
				m.Name, p.Size, Number(p.Value), Number(have), ratio, Number(row.Within))
		}
	}
	return nil
}

// Number tells a number in at most four digits, with commas between thousands.
func Number(v float64) string {
	if v == 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return fmt.Sprint(v)
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(v)))) // three significant ones
	if digits < 0 {
		digits = 0
	}
	text := strconv.FormatFloat(v, 'f', digits, 64)
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	whole, fraction, _ := strings.Cut(text, ".")
	sign := ""
	if strings.HasPrefix(whole, "-") {
		sign, whole = "-", whole[1:]
	}
	for at := len(whole) - 3; at > 0; at -= 3 {
		whole = whole[:at] + "," + whole[at:]
	}
	if fraction != "" {
		whole += "." + fraction
	}
	return sign + whole
}

// Hold compares a measured quantity with the page at path or, to update it, puts it there.
func (m Measured) Hold(path string, update bool) error {
	page, err := ReadPage(path)
	if err != nil {
		return err
	}
	if update {
		if err := page.Put(m); err != nil {
			return err
		}
		return page.Write()
	}
	slopes, err := page.Slopes()
	if err != nil {
		return err
	}
	return slopes.Compare(m)
}
