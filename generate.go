package lentilmux

//go:generate sh -c "protoc -I . --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --plugin=protoc-gen-connect-go=$(go tool -n protoc-gen-connect-go) --go_out=. --go_opt=paths=source_relative --connect-go_out=. --connect-go_opt=paths=source_relative engine/enginepb/engine.proto platformlog/platformlogpb/platformlog.proto vmlist/vmlistpb/vmlist.proto peer/peerpb/peer.proto operator/operatorpb/operator.proto"
