package mangoload

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Choice -trimprefix=Choice -text -output=choice_string.go

// Choice is how plain servers are chosen.
type Choice int

const (
	// ChoiceCounted chooses by counted calls and recent load reports.
	ChoiceCounted Choice = iota
	// ChoiceEstimated chooses by estimated loads.
	ChoiceEstimated
)
