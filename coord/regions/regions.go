package regions

// Several reports whether a map from failure domains to regions names more than one region.
func Several(regionOf map[string]string) bool {
	first := ""
	for _, region := range regionOf {
		if first != "" && region != first {
			return true
		}
		first = region
	}
	return false
}
