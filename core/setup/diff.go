package setup

import (
	"reflect"
)

// ChangedKeys returns the dotted keys whose values differ between two settings, in
// the order of the fields.
func (n Node) ChangedKeys(o Node) []string {
	return changed("", reflect.ValueOf(n), reflect.ValueOf(o))
}

func changed(prefix string, a, b reflect.Value) []string {
	var keys []string
	for i := range a.NumField() {
		key := prefix + a.Type().Field(i).Tag.Get("toml")
		switch x, y := a.Field(i), b.Field(i); {
		case x.Kind() == reflect.Struct:
			keys = append(keys, changed(key+".", x, y)...)
		case !reflect.DeepEqual(x.Interface(), y.Interface()):
			keys = append(keys, key)
		}
	}
	return keys
}
