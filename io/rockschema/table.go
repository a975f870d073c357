package rockschema

import (
	"sassafrasrock/core/rocktable"
	v1 "sassafrasrock/schema/gen/sassafrasrock/v1"
)

func tableUpdateToProto(u rocktable.TableUpdate) *v1.TableNews {
	return &v1.TableNews{
		Table: uint32(u.Table), Era: u.Era, Version: u.Version, Digest: u.Digest, Full: u.Full, Rows: convertAll(u.Rows, tableRowToProto),
	}
}

func tableUpdateFromProto(m *v1.TableNews) rocktable.TableUpdate {
	return rocktable.TableUpdate{
		Table: tableIDFromProto(m.GetTable()), Era: m.GetEra(), Version: m.GetVersion(), Digest: m.GetDigest(), Full: m.GetFull(),
		Rows: convertAll(m.GetRows(), tableRowFromProto),
	}
}

func tableRowToProto(r rocktable.TableRow) *v1.TableRow {
	return &v1.TableRow{Key: r.Key, Version: r.Version, Value: r.Value, Removed: r.Removed}
}

func tableRowFromProto(m *v1.TableRow) rocktable.TableRow {
	return rocktable.TableRow{Key: m.GetKey(), Version: m.GetVersion(), Value: m.GetValue(), Removed: m.GetRemoved()}
}

func tableRequestToProto(r rocktable.TableRequest) *v1.TableRequest {
	return &v1.TableRequest{Table: uint32(r.Table), Era: r.Era, After: r.After}
}

func tableRequestFromProto(m *v1.TableRequest) rocktable.TableRequest {
	return rocktable.TableRequest{Table: tableIDFromProto(m.GetTable()), Era: m.GetEra(), After: m.GetAfter()}
}

// tableIDFromProto returns 0, which identifies no table, for a table that this program does not know.
func tableIDFromProto(id uint32) rocktable.FollowedTableID {
	if id > uint32(rocktable.HostsTable) {
		return 0
	}
	return rocktable.FollowedTableID(id)
}
