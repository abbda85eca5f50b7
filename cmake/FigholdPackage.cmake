# Adds one package of the workspace: a static library from src/*.cpp and a test program from src/*_test.cpp.
#
#   fighold_package(NAME [EMBEDDABLE] [DEPENDS package...] [LINKS target...])
#
# EMBEDDABLE packages are installed and exported as fighold::NAME.
find_path(CATCH2_INCLUDE_DIR catch2/catch.hpp REQUIRED)
add_library(fighold_test_main OBJECT ${CMAKE_SOURCE_DIR}/tests/support/test_main.cpp)
target_include_directories(fighold_test_main PUBLIC ${CMAKE_SOURCE_DIR}/tests/support)

function(fighold_package NAME)
  cmake_parse_arguments(ARG "EMBEDDABLE" "" "DEPENDS;LINKS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cpp src/*.cc)
  set(tests ${sources})
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  list(FILTER sources EXCLUDE REGEX "_main\\.cpp$")

  set(target fighold_${NAME})
  add_library(${target} STATIC ${sources})
  add_library(fighold::${NAME} ALIAS ${target})
  set_target_properties(${target} PROPERTIES EXPORT_NAME ${NAME})
  target_include_directories(${target} PUBLIC $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
                                              $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
  target_compile_features(${target} PUBLIC cxx_std_20)
  list(TRANSFORM ARG_DEPENDS PREPEND fighold::)
  target_link_libraries(${target} PUBLIC ${ARG_DEPENDS} ${ARG_LINKS} Threads::Threads)

  if(ARG_EMBEDDABLE)
    install(TARGETS ${target} EXPORT figholdTargets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
    install(DIRECTORY include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
  endif()

  if(BUILD_TESTING AND tests)
    add_executable(${NAME}_test ${tests})
    target_link_libraries(${NAME}_test PRIVATE ${target} fighold_test_main rapidcheck)
    target_compile_definitions(${NAME}_test PRIVATE FIGHOLD_CHARTS_DIR="${CMAKE_SOURCE_DIR}/charts"
                                                    FIGHOLD_EXAMPLES_DIR="${CMAKE_SOURCE_DIR}/examples")
    add_test(NAME ${NAME} COMMAND ${NAME}_test)
    set_tests_properties(${NAME} PROPERTIES TIMEOUT 240)
  endif()
endfunction()
