package setup

import (
	"reflect"
)

// ChangedKeys returns the dotted keys whose values differ between n and o, in
// the order of the struct fields.
func (n Node) ChangedKeys(o Node) []string {
	return changedKeys("", reflect.ValueOf(n), reflect.ValueOf(o))
}

func changedKeys(prefix string, a, b reflect.Value) []string {
	var keys []string
	for i := range a.NumField() {
		key := prefix + a.Type().Field(i).Tag.Get("toml")
		switch x, y := a.Field(i), b.Field(i); {
		case x.Kind() == reflect.Struct:
			keys = append(keys, changedKeys(key+".", x, y)...)
		case !reflect.DeepEqual(x.Interface(), y.Interface()):
			keys = append(keys, key)
		}
	}
	return keys
}
