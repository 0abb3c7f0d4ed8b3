// Package wire defines the protobuf messages between entry instances and the values in the platform's store.
//
// peer.pb.go is generated and committed; after a change of peer.proto, run
// buf generate in this directory with protoc-gen-go on the path (both are tools of tools/go.mod).
package wire
