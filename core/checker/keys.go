package checker

import "reflect"

// Keys returns the dotted keys of a settings struct in the order of its fields.
// Keys in an array of tables have the form NAME[].KEY.
func Keys(target any) []string {
	return keys(reflect.TypeOf(target), "")
}

func keys(t reflect.Type, prefix string) []string {
	var all []string
	for f := range fields(t) {
		name := prefix + f.Tag.Get("toml")
		switch {
		case f.Type.Kind() == reflect.Struct:
			all = append(all, keys(f.Type, name+".")...)
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			all = append(all, keys(f.Type.Elem(), name+"[].")...)
		default:
			all = append(all, name)
		}
	}
	return all
}

// fields iterates over the fields of a struct that have a toml tag.
func fields(t reflect.Type) func(func(reflect.StructField) bool) {
	return func(yield func(reflect.StructField) bool) {
		for i := range t.NumField() {
			if f := t.Field(i); f.Tag.Get("toml") != "" && !yield(f) {
				return
			}
		}
	}
}
