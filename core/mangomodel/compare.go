package mangomodel

// TrueFirst compares two conditions for sorting: true comes before false.
func TrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
